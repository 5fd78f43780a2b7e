#pragma once

#include <cstdint>
#include <string>

namespace skylarkwing::query {

/**
 * Hashes the content of a query, independent of its caller.
 *
 * Searches that differ only in white space or in the order of object members have the same
 * fingerprint, on every daemon.
 *
 * @param aIndex the queried index.
 * @param aSearch the search, as JSON text.
 */
std::uint64_t
FingerprintOf(const std::string& aIndex, const std::string& aSearch);

} // namespace skylarkwing::query
