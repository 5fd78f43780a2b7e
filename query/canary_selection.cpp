#include "query/canary_selection.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace skylarkwing::query {

const IndexReplica*
ChooseCanaryReplica(const IndexView& aView,
                    const std::vector<std::size_t>& aHolders,
                    const std::set<std::string>& aExcluded,
                    std::uint64_t aFingerprint)
{
  const IndexReplica* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const std::size_t position : aHolders) {
    const IndexReplica& replica = aView.replicas[position];
    if (!MayGetWork(replica.state) || aExcluded.contains(replica.replica)) {
      continue;
    }
    const std::uint64_t weight =
      XXH3_64bits_withSeed(replica.replica.data(), replica.replica.size(), aFingerprint);
    if (best == nullptr || weight > bestWeight) {
      best = &replica;
      bestWeight = weight;
    }
  }
  return best;
}

std::uint32_t
ChooseCanaryShard(std::uint64_t aFingerprint, std::uint32_t aShardCount)
{
  return aShardCount == 0 ? 0 : static_cast<std::uint32_t>(aFingerprint % aShardCount);
}

} // namespace skylarkwing::query
