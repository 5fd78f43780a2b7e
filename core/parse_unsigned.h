#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace skylarkwing::core {

/** @return the decimal number in a string, or nothing when it is not only digits or too large. */
std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText);

/** @return the decimal number at the start of a string, or nothing when there is none. */
std::optional<std::uint64_t>
ParseLeadingUnsigned(std::string_view aText);

} // namespace skylarkwing::core
