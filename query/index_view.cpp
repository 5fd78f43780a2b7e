#include "query/index_view.h"

#include <algorithm>
#include <functional>
#include <map>

namespace skylarkwing::query {

namespace {

using CountVotes = std::map<std::uint32_t, std::size_t>;

IndexReplica
ViewOf(const upstream::ReplicaStatus& aStatus)
{
  IndexReplica view;
  view.replica = aStatus.replica;
  view.owner = aStatus.owner;
  view.failureDomain = aStatus.failureDomain;
  view.state = aStatus.state;
  view.allowance = aStatus.allowance;
  view.inFlight = aStatus.inFlight + aStatus.queued;
  view.medianMicroseconds = aStatus.medianMicroseconds;
  view.p95Microseconds = aStatus.p95Microseconds;
  return view;
}

std::uint32_t
MostVotedCount(const CountVotes& aVotes)
{
  std::uint32_t best = 0;
  std::size_t bestVotes = 0;
  for (const auto& [count, votes] : aVotes) {
    if (votes >= bestVotes) {
      best = count;
      bestVotes = votes;
    }
  }
  return best;
}

void
AddHolding(SnapshotView& aView, const upstream::SnapshotHolding& aHolding, std::size_t aReplica)
{
  if (aHolding.shardCount != aView.shardCount) {
    return;
  }
  for (const std::uint32_t shard : aHolding.shards) {
    if (shard < aView.shardCount) {
      aView.holders[shard].push_back(aReplica);
    }
  }
}

} // namespace

const SnapshotView*
IndexView::Find(std::uint64_t aSnapshot) const
{
  for (const SnapshotView& view : snapshots) {
    if (view.snapshot == aSnapshot) {
      return &view;
    }
  }
  return nullptr;
}

IndexView
BuildIndexView(const std::vector<upstream::ReplicaStatus>& aStatuses, const std::string& aIndex)
{
  IndexView view;
  view.index = aIndex;
  std::vector<const upstream::ReplicaStatus*> statuses;
  std::map<std::uint64_t, CountVotes, std::greater<>> votes;
  for (const upstream::ReplicaStatus& status : aStatuses) {
    if (status.index != aIndex) {
      continue;
    }
    statuses.push_back(&status);
    view.replicas.push_back(ViewOf(status));
    for (const upstream::SnapshotHolding& holding : status.holdings) {
      ++votes[holding.snapshot][holding.shardCount];
    }
  }
  for (const auto& [snapshot, counts] : votes) {
    SnapshotView snapshotView;
    snapshotView.snapshot = snapshot;
    snapshotView.shardCount = MostVotedCount(counts);
    snapshotView.holders.resize(snapshotView.shardCount);
    for (std::size_t n = 0; n < statuses.size(); ++n) {
      for (const upstream::SnapshotHolding& holding : statuses[n]->holdings) {
        if (holding.snapshot == snapshot) {
          AddHolding(snapshotView, holding, n);
        }
      }
    }
    view.snapshots.push_back(std::move(snapshotView));
  }
  return view;
}

bool
MayGetWork(upstream::ReplicaState aState)
{
  switch (aState) {
    case upstream::ReplicaState::Unknown:
    case upstream::ReplicaState::Cold:
    case upstream::ReplicaState::Warming:
    case upstream::ReplicaState::Warm:
      return true;
    case upstream::ReplicaState::Draining:
    case upstream::ReplicaState::Out:
    case upstream::ReplicaState::Gone:
      return false;
  }
  return false;
}

} // namespace skylarkwing::query
