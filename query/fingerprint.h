#pragma once

#include <cstdint>
#include <string>

namespace skylarkwing::query {

/**
 * Identifies what a query asks, without who asks.
 *
 * Equal on every daemon for searches that differ only in white space or the order of members.
 *
 * @param aIndex the index that is asked.
 * @param aSearch the search, as JSON text.
 */
std::uint64_t
FingerprintOf(const std::string& aIndex, const std::string& aSearch);

} // namespace skylarkwing::query
