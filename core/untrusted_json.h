#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace skylarkwing::core {

/**
 * Parses JSON from another writer. Text that is nested more deeply than any message of this project
 * isn't parsed, since each level costs memory and time.
 *
 * @return the document, or a discarded value when the text isn't JSON, is nested too deeply, or has
 *         a number that is too large.
 */
nlohmann::json
ParseUntrustedJson(std::string_view aText);

} // namespace skylarkwing::core
