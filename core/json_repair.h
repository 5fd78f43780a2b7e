#pragma once

#include <string>
#include <string_view>

namespace skylarkwing::core {

/**
 * Makes the strings of a JSON text readable, so that one string that isn't Unicode doesn't make a
 * whole document unreadable. Replaced are bytes that are no UTF-8, surrogate escapes without their
 * counterpart, and control characters without an escape.
 *
 * Each byte that is no Unicode text becomes two of the 32 noncharacters from U+FDD0 to U+FDEF,
 * which Unicode reserves for such internal use. Noncharacters in the text itself are replaced as
 * well, so that OriginalBytes() is unambiguous.
 *
 * @return the text; HasReplacedBytes() tells which of its strings were changed.
 */
std::string
RepairJson(std::string_view aText);

/** @return whether a string of a repaired document stands for one that is no Unicode text. */
bool
HasReplacedBytes(std::string_view aText);

/** @return the bytes for which a string of a repaired document stands. */
std::string
OriginalBytes(std::string_view aText);

} // namespace skylarkwing::core
