#include "query/snapshot_choice.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

bool
IsUsable(const IndexReplica& aReplica, bool aCountUnknown)
{
  if (aReplica.state == upstream::ReplicaState::Unknown) {
    return aCountUnknown;
  }
  return MayGetWork(aReplica.state);
}

SnapshotChoice
Assess(const IndexView& aView, const SnapshotView& aSnapshot, bool aCountUnknown)
{
  SnapshotChoice choice;
  choice.snapshot = aSnapshot.snapshot;
  choice.shardCount = aSnapshot.shardCount;
  for (const auto& holders : aSnapshot.holders) {
    const bool isAnswerable =
      std::any_of(holders.begin(), holders.end(), [&](std::size_t aPosition) {
        return IsUsable(aView.replicas[aPosition], aCountUnknown);
      });
    choice.answerable += isAnswerable ? 1 : 0;
  }
  return choice;
}

std::optional<SnapshotChoice>
FindBest(const IndexView& aView, const std::set<std::uint64_t>& aExcluded, bool aCountUnknown)
{
  std::optional<SnapshotChoice> best;
  for (const SnapshotView& snapshot : aView.snapshots) {
    if (aExcluded.contains(snapshot.snapshot)) {
      continue;
    }
    const SnapshotChoice choice = Assess(aView, snapshot, aCountUnknown);
    if (choice.answerable == 0) {
      continue;
    }
    // Snapshots are sorted newest first, so on a tie the newer one is kept.
    if (!best || choice.AnswerableShare() > best->AnswerableShare()) {
      best = choice;
    }
  }
  return best;
}

} // namespace

double
SnapshotChoice::AnswerableShare() const
{
  return shardCount == 0 ? 0.0 : static_cast<double>(answerable) / shardCount;
}

std::optional<SnapshotChoice>
ChooseSnapshot(const IndexView& aView, const std::set<std::uint64_t>& aExcluded)
{
  const std::optional<SnapshotChoice> known = FindBest(aView, aExcluded, false);
  if (known && known->answerable == known->shardCount) {
    return known;
  }
  return FindBest(aView, aExcluded, true);
}

} // namespace skylarkwing::query
