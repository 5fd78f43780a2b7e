#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace skylarkwing::upstream {

/** What is known of one replica at the moment of a choice. */
struct ReplicaCandidate
{
  /** Usual time of an exchange without queueing, with the way there and back. */
  core::Duration typicalTime{};
  /** How much of it is work at the replica, the rest is the way. */
  core::Duration serviceTime{};
  /** Requests of this daemon that it has not answered. */
  std::uint32_t inFlight = 0;
  /** Requests that wait at the replica, as it last said. */
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /** How long it has answered nothing although it owes an answer. */
  core::Duration stalledFor{};
  /** Whether a connection is free or may be opened. */
  bool hasRoom = false;
  /** Whether its last exchanges failed. */
  bool isSuspect = false;
  /** Whether it has just started and is slow. */
  bool isCold = false;
  /** Share of its recent requests that came to nothing. */
  double failureRate = 0.0;
};

/** Lengthens the estimate of a replica that has just started, which works at about half speed. */
constexpr double kColdFactor = 1.6;

/** A silence this many times as long as the usual exchange counts as a pause. */
constexpr double kStallFactor = 2.0;

/** How much longer a replica that pauses is expected to be silent: half of a usual pause. */
constexpr core::Duration kMinStallRemaining = std::chrono::milliseconds{ 100 };

/** What a failing replica costs in a comparison: it is taken only when nothing else is left. */
constexpr core::Duration kSuspectPenalty = std::chrono::seconds{ 10 };

/**
 * What a certain failure costs in a comparison: the time for another attempt, and the risk that
 * none is left. A replica in another region is worth its way when the nearest one fails one request
 * in ten.
 */
constexpr core::Duration kFailureCost = std::chrono::milliseconds{ 250 };

/** @return the expected time of one more exchange with a replica. */
core::Duration
ExpectedTime(const ReplicaCandidate& aReplica);

/**
 * Chooses the replica with the shortest expected time, and the time that its failures may cost.
 *
 * Answers the load of replicas that pause now and then, are slow for a while, or fail: work goes to
 * the nearest replica and moves to farther ones as soon as it owes answers for too long, or while
 * it fails a part of what it gets.
 *
 * @param aReplicas the candidates, without those that may not be used.
 * @param aTieBreak a random number; equal replicas share the work.
 * @return an index into the candidates, nothing when none has room.
 */
std::optional<std::size_t>
ChooseReplica(const std::vector<ReplicaCandidate>& aReplicas, std::uint64_t aTieBreak);

} // namespace skylarkwing::upstream
