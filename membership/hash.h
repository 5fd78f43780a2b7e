#pragma once

#include <cstdint>
#include <string_view>

namespace skylarkwing::membership {

/** @return a hash that is the same in every process, for rendezvous hashing, rings and digests. */
std::uint64_t
HashOf(std::string_view aText);

/** @return a hash of two hashes, which depends on their order. */
std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond);

} // namespace skylarkwing::membership
