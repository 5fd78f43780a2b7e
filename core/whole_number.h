#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace skylarkwing::core {

/** @return the number that a text consists of; nothing when it holds anything but digits. */
std::optional<std::uint64_t>
ParseWhole(std::string_view aText);

/** @return the number with which a text begins, whatever follows; nothing when none does. */
std::optional<std::uint64_t>
ParseLeadingWhole(std::string_view aText);

} // namespace skylarkwing::core
