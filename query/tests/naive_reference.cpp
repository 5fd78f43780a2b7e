#include "query/tests/naive_reference.h"

#include "query/hit_merge.h"

#include <algorithm>

namespace skylarkwing::query::test {

namespace {

constexpr std::size_t kAllHits = 1000;

bool
IsHolder(const upstream::ReplicaStatus& aStatus, std::uint64_t aSnapshot, std::uint32_t aShard)
{
  return std::any_of(aStatus.holdings.begin(),
                     aStatus.holdings.end(),
                     [&](const upstream::SnapshotHolding& aHolding) {
                       const auto& shards = aHolding.shards;
                       return aHolding.snapshot == aSnapshot &&
                              std::find(shards.begin(), shards.end(), aShard) != shards.end();
                     });
}

} // namespace

NaiveAnswer
AskSequentially(const std::vector<upstream::ReplicaStatus>& aStatuses,
                std::uint64_t aSnapshot,
                std::uint32_t aShards,
                const std::function<PartBehaviour(const upstream::PartRequest&)>& aBehaviour)
{
  NaiveAnswer answer;
  for (std::uint32_t shard = 0; shard < aShards; ++shard) {
    for (const upstream::ReplicaStatus& status : aStatuses) {
      if (!IsHolder(status, aSnapshot, shard) || !MayGetWork(status.state)) {
        continue;
      }
      upstream::PartRequest part;
      part.replica = status.replica;
      part.shard = shard;
      part.snapshot = aSnapshot;
      const PartBehaviour behaviour = aBehaviour(part);
      const bool isUsable = behaviour.status == upstream::PartStatus::Answered &&
                            behaviour.isComplete && !behaviour.hasWrongSnapshot &&
                            !behaviour.isSilent;
      if (isUsable) {
        answer.answered.insert(shard);
        const auto hits = QueryFixture::HitsOf(aSnapshot, shard);
        answer.hits.insert(answer.hits.end(), hits.begin(), hits.end());
        break;
      }
    }
  }
  answer.hits = MergeHits(std::move(answer.hits), kAllHits);
  return answer;
}

} // namespace skylarkwing::query::test
