#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** Where a replica is, seen from this daemon; in ascending order of distance. */
enum class Proximity
{
  OwnDomain,
  OwnRegion,
  OtherRegion,
};

/** @return the name of a proximity, for logs and metric labels. */
std::string_view
NameOf(Proximity aProximity);

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
  /** Whether it reports its speed; the times above are then those at its present speed. */
  bool reportsSpeed = false;
  /** How long work takes at its present speed, 1 as usual; part of the times above. */
  double slowdown = 1.0;
  /** Whether the times are measured, and not long ago. */
  bool isMeasured = false;
  /** Share of its slots that requests take, by its reports; nothing when it isn't known. */
  std::optional<double> use;
  /** Time since its last load report; nothing when there is none. */
  std::optional<core::Duration> reportAge;
  Proximity proximity = Proximity::OwnDomain;
  /** Added to the expected time in a choice, for traffic that costs money. */
  core::Duration price{};
  /** Chosen only when no other one has room. */
  bool isDeferred = false;
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

/**
 * Replicas that report their speed share the requests if their cost is at most this many times the
 * best one's. Slower ones would make queries over many shards late.
 */
constexpr double kMaxSharedCost = 1.5;

/**
 * Exponent of the inverse cost in the weights of replicas that share requests. With 1, all would be
 * equally busy, and many requests would go to slow ones; with 2, a replica whose work takes 0.6 of
 * the usual time gets 58 % beside two usual ones.
 */
constexpr double kCostExponent = 2.0;

/** @return the expected time of one more exchange with a replica, without the cost of failures. */
core::Duration
ExpectedTime(const ReplicaCandidate& aReplica);

/** @return whether it has left a request unanswered for too long. */
bool
IsStalled(const ReplicaCandidate& aReplica);

/** @return the expected time with the expected cost of failures and the price. */
core::Duration
ExpectedCost(const ReplicaCandidate& aReplica);

/**
 * Chooses the replica with the least expected cost.
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

/**
 * Spreads requests over the replicas that are nearly as good as the best one, so that daemons that
 * have seen the same figure don't all send to the same replica.
 *
 * Only replicas that report their speed share, and none that is farther away than the best one.
 *
 * @param aBest what ChooseReplica() has returned.
 * @return the weight of each candidate; empty when the best one has no other beside it.
 */
std::vector<double>
ShareAmongBest(const std::vector<ReplicaCandidate>& aReplicas, std::size_t aBest);

/**
 * @param aFraction a random number in [0, 1).
 * @return an index, drawn by the weights.
 */
std::size_t
DrawByWeight(const std::vector<double>& aWeights, double aFraction);

} // namespace skylarkwing::upstream
