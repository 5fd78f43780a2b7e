#pragma once

#include <string_view>

namespace skylarkwing::console {

/**
 * The HTML page of the shared screens, generated from console/web/screen.html by
 * scripts/embed_screen.
 */
extern const std::string_view kScreenPage;

} // namespace skylarkwing::console
