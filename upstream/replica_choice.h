#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace skylarkwing::upstream {

/** A replica's figures at the moment of a choice. */
struct ReplicaCandidate
{
  /** Typical time of an exchange without queueing, including the network round trip. */
  core::Duration typicalTime{};
  /** The part of typicalTime that the replica works; the rest is the round trip. */
  core::Duration serviceTime{};
  /** Requests of this daemon that are not answered yet. */
  std::uint32_t inFlight = 0;
  /** Requests queued at the replica, by its last report. */
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /** Time without any answer while a request is outstanding; 0 when none is. */
  core::Duration stalledFor{};
  /** Whether a connection is free or may be opened. */
  bool hasRoom = false;
  /** Whether its last exchanges failed. */
  bool isSuspect = false;
  /** Whether it has started recently and is still slow. */
  bool isCold = false;
  /** Share of its recent requests that failed. */
  double failureRate = 0.0;
};

/** Multiplies the estimate for a cold replica, which works at about half speed. */
constexpr double kColdFactor = 1.6;

/** A replica without an answer for this many times its typical time is considered stalled. */
constexpr double kStallFactor = 2.0;

/** Least expected rest of a stall: half of a typical pause. */
constexpr core::Duration kMinStallRemaining = std::chrono::milliseconds{ 100 };

/** Added to the estimate of a failing replica, so that it is chosen only when no other is left. */
constexpr core::Duration kSuspectPenalty = std::chrono::seconds{ 10 };

/**
 * Added to the estimate in proportion to the failure rate: the time for another attempt, and the
 * risk that no attempt is left. A replica in another region is preferred when the nearest one fails
 * one request in ten.
 */
constexpr core::Duration kFailureCost = std::chrono::milliseconds{ 250 };

/** @return the expected time of one more exchange with a replica, without the cost of failures. */
core::Duration
ExpectedTime(const ReplicaCandidate& aReplica);

/**
 * Chooses the replica with the shortest expected time plus the expected cost of its failures.
 *
 * Handles replicas that stall now and then, are slow for a while, or fail: requests go to the
 * nearest replica, and move to farther ones as soon as it leaves requests unanswered for too long
 * or fails a part of them.
 *
 * @param aReplicas the candidates, without those that may not be used.
 * @param aTieBreak a random number that spreads requests over equal replicas.
 * @return an index into the candidates, nothing when none has room.
 */
std::optional<std::size_t>
ChooseReplica(const std::vector<ReplicaCandidate>& aReplicas, std::uint64_t aTieBreak);

} // namespace skylarkwing::upstream
