#include "console/screen_page.h"

namespace skylarkwing::console {

// clang-format off
// Written by scripts/embed_screen from console/web/screen.html.
const std::string_view kScreenPage = R"screen(<!doctype html>
<title>skylarkwing</title>
)screen";
// clang-format on

} // namespace skylarkwing::console
