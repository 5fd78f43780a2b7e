#include "membership/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace skylarkwing::membership {

std::uint64_t
HashOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> both{ aFirst, aSecond };
  return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace skylarkwing::membership
