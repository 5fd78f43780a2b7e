#pragma once

#include "upstream/replica_status.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** What an asker knows of one replica. */
struct ReplicaView
{
  std::string replica;
  /** The VM whose daemon takes parts for the replica. */
  std::string owner;
  std::string failureDomain;
  upstream::ReplicaState state = upstream::ReplicaState::Unknown;
  /** Requests that may run there at a time. */
  std::uint32_t allowance = 0;
  /** Requests that run or wait there, as the owner last said. */
  std::uint32_t inFlight = 0;
  std::uint32_t medianMicroseconds = 0;
  std::uint32_t p95Microseconds = 0;
};

/** One version of an index and who holds it. */
struct SnapshotView
{
  std::uint64_t snapshot = 0;
  std::uint32_t shardCount = 0;
  /** For each shard the positions in IndexView::replicas of its holders. */
  std::vector<std::vector<std::size_t>> holders;
};

/** One index as an asker sees it at one moment. */
struct IndexView
{
  std::string index;
  std::vector<ReplicaView> replicas;
  /** The known versions, newest first. */
  std::vector<SnapshotView> snapshots;

  /** @return the version of that number, or nullptr. */
  const SnapshotView* Find(std::uint64_t aSnapshot) const;
};

/**
 * Arranges the facts about one index by version and shard.
 *
 * When replicas disagree about a version's shard count, the count that most of them announce
 * stands, the larger one when they are even, so that coverage is never overstated. Holdings with
 * another count are left out.
 *
 * @param aFacts the facts about replicas of any index.
 * @param aIndex the index to arrange.
 * @return the view; it has no versions when no replica announces one.
 */
IndexView
BuildIndexView(const std::vector<upstream::ReplicaStatus>& aFacts, const std::string& aIndex);

/** @return whether a replica in that state may get new work at all. */
bool
MayGetWork(upstream::ReplicaState aState);

} // namespace skylarkwing::query
