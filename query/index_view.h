#pragma once

#include "upstream/replica_status.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** One replica of an index, as this daemon knows it. */
struct IndexReplica
{
  std::string replica;
  /** VM of the daemon that accepts parts for the replica. */
  std::string owner;
  std::string failureDomain;
  upstream::ReplicaState state = upstream::ReplicaState::Unknown;
  /** Maximum number of concurrent requests. */
  std::uint32_t allowance = 0;
  /** Running and queued requests, as last reported by the owner. */
  std::uint32_t inFlight = 0;
  std::uint32_t medianMicroseconds = 0;
  std::uint32_t p95Microseconds = 0;
};

/** One snapshot of an index and the replicas that hold its shards. */
struct SnapshotView
{
  std::uint64_t snapshot = 0;
  std::uint32_t shardCount = 0;
  /** For each shard, the positions of its holders in IndexView::replicas. */
  std::vector<std::vector<std::size_t>> holders;
};

/** State of one index at one point in time, as this daemon knows it. */
struct IndexView
{
  std::string index;
  std::vector<IndexReplica> replicas;
  /** The known snapshots, newest first. */
  std::vector<SnapshotView> snapshots;

  /** @return the snapshot with that number, or nullptr. */
  const SnapshotView* Find(std::uint64_t aSnapshot) const;
};

/**
 * Groups the replica statuses of one index by snapshot and shard.
 *
 * When replicas disagree about the shard count of a snapshot, the count announced by most of them
 * is used, on a tie the larger one, so that coverage is never overstated. Holdings with another
 * count are ignored.
 *
 * @param aStatuses statuses of replicas of any index.
 * @param aIndex the index.
 * @return the view; it has no snapshots when no replica announces one.
 */
IndexView
BuildIndexView(const std::vector<upstream::ReplicaStatus>& aStatuses, const std::string& aIndex);

/** @return whether a replica in that state may be sent new work. */
bool
MayGetWork(upstream::ReplicaState aState);

} // namespace skylarkwing::query
