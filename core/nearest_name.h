#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkwing::core {

/**
 * Restricted Damerau-Levenshtein distance: the number of insertions, deletions, substitutions and
 * transpositions of adjacent characters between two strings.
 */
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight);

/**
 * Finds the known name that a misspelt name most likely stands for.
 *
 * @param aName the unknown name.
 * @param aKnown the known names.
 * @return the most similar known name, or nothing when none is similar enough for a typo.
 */
std::optional<std::string_view>
NearestName(std::string_view aName, const std::vector<std::string_view>& aKnown);

} // namespace skylarkwing::core
