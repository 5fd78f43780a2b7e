#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <vector>

namespace skylarkwing::query {

/** Progress of a query over several shards. */
struct GatherProgress
{
  std::size_t shards = 0;
  /** Fewest answered shards that make an acceptable answer. */
  std::size_t minAnswered = 0;
  std::size_t answered = 0;
  /** Shards with no attempts left. */
  std::size_t failed = 0;
  /** Shards that have not been queried yet. */
  std::size_t deferred = 0;
  /** Time since the request arrived. */
  core::Duration age{};
  core::Duration objective{};
  /** Average delay of timers on the daemon's event loop. */
  core::Duration loopLag{};
  /** Time from arrival to the deadline. */
  core::Duration timeout{};
};

/** Next action for a query over several shards. */
enum class GatherStep
{
  Wait,
  /** Answer with the shards that have answered. */
  Answer,
  /** Query the deferred shards as well, because the others cannot give enough answers. */
  SendDeferred,
  /** Too few shards can answer. */
  Fail,
};

/**
 * Time before the objective at which a partial answer is sent. The objective is measured from the
 * caller's first step: a caller that has to look up addresses and connect needs eight one-way trips
 * of 3 ms until the answer arrives, plus the processing time of the hops.
 */
constexpr core::Duration kResponseReserve = std::chrono::milliseconds{ 30 };

/** Upper bound of the reserve as a share of the objective; a larger one would cost coverage. */
constexpr double kMaxResponseReserveShare = 0.375;

/**
 * Number of times the loop lag is subtracted from the time of a partial answer. A busy loop adds
 * its lag when it reads the request, when it processes the parts and when it writes the answer.
 */
constexpr double kLoopLagFactor = 3.0;

/** Earliest partial answer as a share of the objective; before it too many shards are missing. */
constexpr double kEarliestPartialAnswerShare = 0.6;

/**
 * A shard is deferred when its expected latency exceeds this multiple of the objective. It is above
 * 1 because estimates are rough and an unnecessary deferral costs coverage.
 */
constexpr double kDeferThresholdShare = 1.25;

/** Time before the deadline at which a query ends at the latest. */
constexpr core::Duration kDeadlineMargin = std::chrono::milliseconds{ 20 };

/** An attempt is a straggler when it takes this multiple of the typical exchange time. */
constexpr double kStragglerFactor = 1.8;

/** Minimum age of an attempt before a hedge, since a hedge costs as much as a part. */
constexpr core::Duration kMinHedgeDelay = std::chrono::milliseconds{ 15 };

/** Upper bound of the hedge delay as a share of the objective, which leaves the hedge time to
 * answer. */
constexpr double kMaxHedgeDelayShare = 0.4;

/**
 * Decides whether a query waits, is answered with the shards it has, or fails.
 *
 * Limits the effect of stragglers: close to the objective, a query with enough shards is answered
 * partially, because a mostly complete answer in time is worth more than a complete one that is
 * late.
 */
GatherStep
DecideNextStep(const GatherProgress& aProgress);

/**
 * Chooses the shards that are not queried at first.
 *
 * Shards whose replicas are slow or overloaded would answer after the objective, and each part sent
 * to them lengthens their queues. The slowest of them are deferred, at most as many as an answer
 * may miss, which relieves their replicas. They are queried when other shards fail.
 *
 * @param aExpected expected latency of each shard, zero when unknown.
 * @param aMinAnswered fewest answered shards that make an acceptable answer.
 * @param aObjective latency objective of the query.
 * @return indexes into `aExpected`.
 */
std::vector<std::size_t>
ChooseDeferredShards(const std::vector<core::Duration>& aExpected,
                     std::size_t aMinAnswered,
                     core::Duration aObjective);

/** @return the age at which DecideNextStep() may change its result without another answer. */
core::Duration
NextDecisionAge(const GatherProgress& aProgress);

/**
 * @param aTypical typical time of an exchange with the replica of the attempt.
 * @param aObjective latency objective of the query.
 * @return the age at which an attempt gets a hedge.
 */
core::Duration
HedgeDelay(core::Duration aTypical, core::Duration aObjective);

} // namespace skylarkwing::query
