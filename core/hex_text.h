#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::core {

/** @return a number as 16 hexadecimal digits, for fingerprints in keys and logs. */
std::string
ToHex(std::uint64_t aNumber);

/** @return the number, nothing when the text isn't a hexadecimal number of 64 bits. */
std::optional<std::uint64_t>
ParseHex(std::string_view aText);

} // namespace skylarkwing::core
