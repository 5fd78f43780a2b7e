#pragma once

#include <string_view>

namespace skylarkwing::console {

/**
 * The page of the shared screens, as it is compiled in from console/web/screen.html by
 * scripts/embed_screen.
 */
extern const std::string_view kScreenPage;

} // namespace skylarkwing::console
