#pragma once

#include "core/timer_service.h"
#include "upstream/replica_status.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** One hit of a search. */
struct Hit
{
  std::string id;
  double score = 0.0;
  /** The stored fields, as JSON text. */
  std::string fields;
};

/** The part of a query that searches one shard, sent to one replica. */
struct PartRequest
{
  /** Unique among all parts of all daemons; the replica echoes it. */
  std::string partId;
  std::string index;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;
  std::string replica;
  /** The search, as the caller's JSON text. */
  std::string search;
  bool isIdempotent = true;
  /** The profile's priority; 0 is the most important. */
  std::uint32_t priority = 1;
  core::TimePoint deadline;
  /** Hash of index and search, without the request's identity. */
  std::uint64_t fingerprint = 0;
  /**
   * The query's first part, which runs before the others to show whether it crashes its replica.
   */
  bool isCanary = false;
  /** Replicas known to have crashed while running this fingerprint. */
  std::vector<std::string> crashedReplicas;
};

/** How a part ended. */
enum class PartStatus
{
  /** The replica answered. */
  Answered,
  /** It certainly did not run. */
  NotRun,
  /** It may have run, and no answer came. */
  Unknown,
  /** The replica's process went away while it ran this part. */
  Crashed,
  /** It was refused because its fingerprint is quarantined. */
  Quarantined,
};

/** @return the name of a status, for messages and metric labels. */
std::string_view
NameOf(PartStatus aStatus);

/** Why a part was not answered. */
enum class PartRefusal
{
  None,
  /** The replica or its queue is full, or it said so itself. */
  Overloaded,
  /** The deadline is too close, or has passed. */
  DeadlineTooClose,
  /** The replica is cold and accepts no more requests. */
  Cold,
  /** The replica is draining or gone, or its failure domain is out of service. */
  Unavailable,
  /** This daemon does not own the replica. */
  NotOwner,
  /** The replica does not hold that snapshot or shard. */
  WrongSnapshot,
  /** The connection broke, or its answer was invalid. */
  ConnectionLost,
  /** The sender cancelled it. */
  Cancelled,
};

/** @return the name of a refusal, for messages and metric labels. */
std::string_view
NameOf(PartRefusal aRefusal);

/** The result of one part. */
struct PartAnswer
{
  std::string partId;
  PartStatus status = PartStatus::Unknown;
  PartRefusal refusal = PartRefusal::None;
  std::uint64_t snapshot = 0;
  std::uint32_t shard = 0;
  /** Whether the replica searched all of its shard. */
  bool isComplete = false;
  std::vector<Hit> hits;
  /** All replicas now known to have crashed while running this fingerprint. */
  std::vector<std::string> crashedReplicas;
};

/** Receives the answer of one part, exactly once. */
using PartCallback = std::function<void(PartAnswer)>;

/**
 * Sends one part to the owner of its replica, on any daemon; the callback may be called before this
 * returns.
 */
using PartSender = std::function<void(PartRequest, PartCallback)>;

/** Cancels a part; its callback is still called once. */
using PartCanceller = std::function<void(const std::string& aReplica, const std::string& aPartId)>;

} // namespace skylarkwing::upstream
