#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** A replica's state, as its owner sees it. */
enum class ReplicaState
{
  Unknown,
  Cold,
  Warming,
  Warm,
  Draining,
  Out,
  Gone,
};

/** @return the name of a state, for messages, logs and screens. */
std::string_view
NameOf(ReplicaState aState);

/** The shards of one snapshot that a replica can answer for. */
struct SnapshotHolding
{
  /** The version of the index. */
  std::uint64_t snapshot = 0;
  /** Number of shards of the index in that version. */
  std::uint32_t shardCount = 0;
  /** The shards held, each below shardCount. */
  std::vector<std::uint32_t> shards;

  bool operator==(const SnapshotHolding&) const = default;
};

/** What a replica's owner broadcasts about it to all daemons. */
struct ReplicaStatus
{
  std::string replica;
  std::string index;
  std::string service;
  std::string failureDomain;
  /** The VM whose daemon owns the replica and takes parts for it. */
  std::string owner;
  /** The replica's process, as seen on the owner's connection; empty while unknown. */
  std::string incarnation;
  ReplicaState state = ReplicaState::Unknown;
  std::vector<SnapshotHolding> holdings;
  /** Current concurrency limit: the slots, or fewer while the replica warms up. */
  std::uint32_t allowance = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  /** Quantiles of the time of a part there. */
  std::uint32_t medianMicroseconds = 0;
  std::uint32_t p95Microseconds = 0;
  std::uint32_t p99Microseconds = 0;
};

} // namespace skylarkwing::upstream
