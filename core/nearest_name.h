#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkwing::core {

/**
 * Counts the insertions, deletions, replacements and swaps of neighbours between two texts
 * (the restricted Damerau-Levenshtein distance).
 */
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight);

/**
 * Finds the name that somebody probably meant.
 *
 * @param aName what was written.
 * @param aKnown the names that are allowed.
 * @return the nearest known name, or nothing when none is near enough to be a slip.
 */
std::optional<std::string_view>
NearestName(std::string_view aName, const std::vector<std::string_view>& aKnown);

} // namespace skylarkwing::core
