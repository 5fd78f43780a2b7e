#pragma once

#include "upstream/replica_fact.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwing::upstream {

/** A fact that readers share; its counts, times and allowance may be renewed in place. */
using ReplicaFactPtr = std::shared_ptr<const ReplicaFact>;

/** Who can answer for one snapshot of an index. */
struct SnapshotMap
{
  std::uint64_t snapshot = 0;
  /** How many shards that snapshot has, whether held or not. */
  std::uint32_t shardCount = 0;
  /** How many shards have at least one replica that takes new work. */
  std::uint32_t coveredShards = 0;
  /** For each shard, the replicas that hold it and take new work, in the order of their names. */
  std::vector<std::vector<ReplicaFactPtr>> replicasOfShard;
};

/** All snapshots of one index that any replica holds, as they were at one moment. */
struct IndexMap
{
  std::string index;
  /** The newest first. */
  std::vector<SnapshotMap> snapshots;

  /** @return the map of one snapshot, or null. */
  const SnapshotMap* Find(std::uint64_t aSnapshot) const;
};

/** A map that a query keeps while it runs. */
using IndexMapPtr = std::shared_ptr<const IndexMap>;

/**
 * What one daemon has heard from all owners: the newest fact about each replica.
 *
 * Maps are built when they are first read after a change of what replicas hold or whether they take
 * work, and are then shared by all readers; most facts change only counts, and cost no new map. Not
 * thread-safe: one instance belongs to one event loop.
 */
class ReplicaDirectory
{
public:
  /** Takes in a fact; it replaces the one before, from whichever owner. */
  void Update(ReplicaFact aFact);

  /** Forgets the facts of a daemon that is gone. */
  void ForgetOwner(const std::string& aVm);

  /** Forgets a replica that is no longer declared. */
  void ForgetReplica(const std::string& aReplica);

  /** @return the map of an index, never null; a change later makes a new one. */
  IndexMapPtr Map(const std::string& aIndex) const;

  /** @return the fact about one replica, or null. */
  ReplicaFactPtr Find(const std::string& aReplica) const;

  /** @return every fact, in the order of the replicas' names. */
  std::vector<ReplicaFact> Facts() const;

private:
  std::map<std::string, std::shared_ptr<ReplicaFact>> mFacts;
  mutable std::unordered_map<std::string, IndexMapPtr> mMaps;

  IndexMapPtr Build(const std::string& aIndex) const;
};

} // namespace skylarkwing::upstream
