#include "query/snapshot_choice.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

bool
Counts(const IndexReplica& aReplica, bool aWithUnknown)
{
  if (aReplica.state == upstream::ReplicaState::Unknown) {
    return aWithUnknown;
  }
  return MayGetWork(aReplica.state);
}

SnapshotChoice
Assess(const IndexView& aView, const SnapshotView& aVersion, bool aWithUnknown)
{
  SnapshotChoice choice;
  choice.snapshot = aVersion.snapshot;
  choice.shardCount = aVersion.shardCount;
  for (const auto& holders : aVersion.holders) {
    const bool isAnswerable =
      std::any_of(holders.begin(), holders.end(), [&](std::size_t aPosition) {
        return Counts(aView.replicas[aPosition], aWithUnknown);
      });
    choice.answerable += isAnswerable ? 1 : 0;
  }
  return choice;
}

std::optional<SnapshotChoice>
Best(const IndexView& aView, const std::set<std::uint64_t>& aExcluded, bool aWithUnknown)
{
  std::optional<SnapshotChoice> best;
  for (const SnapshotView& version : aView.snapshots) {
    if (aExcluded.contains(version.snapshot)) {
      continue;
    }
    const SnapshotChoice choice = Assess(aView, version, aWithUnknown);
    if (choice.answerable == 0) {
      continue;
    }
    // Versions come newest first, so an even share never replaces a newer version.
    if (!best || choice.Share() > best->Share()) {
      best = choice;
    }
  }
  return best;
}

} // namespace

double
SnapshotChoice::Share() const
{
  return shardCount == 0 ? 0.0 : static_cast<double>(answerable) / shardCount;
}

std::optional<SnapshotChoice>
ChooseSnapshot(const IndexView& aView, const std::set<std::uint64_t>& aExcluded)
{
  const std::optional<SnapshotChoice> known = Best(aView, aExcluded, false);
  if (known && known->answerable == known->shardCount) {
    return known;
  }
  return Best(aView, aExcluded, true);
}

} // namespace skylarkwing::query
