#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <vector>

namespace skylarkwing::query {

/** Where a query over shards stands. */
struct GatherProgress
{
  std::size_t shards = 0;
  /** Fewest shards that make an answer. */
  std::size_t least = 0;
  std::size_t answered = 0;
  /** Shards that can't answer any more. */
  std::size_t failed = 0;
  /** Shards that were not asked yet. */
  std::size_t deferred = 0;
  /** Time since the request arrived. */
  core::Duration age{};
  core::Duration objective{};
  /** How late the daemon's loop usually is. */
  core::Duration lag{};
  /** Time from arrival to the deadline. */
  core::Duration limit{};
};

/** What to do with a query now. */
enum class GatherStep
{
  Wait,
  /** Answer with the shards that are there. */
  Answer,
  /** Ask the deferred shards too: the others aren't enough. */
  SendDeferred,
  /** Too few shards can answer. */
  Fail,
};

/**
 * How long before the objective an answer leaves, to be with the caller in time: the objective
 * counts from the caller's first step. One that has to ask for addresses and to connect spends
 * eight ways of 3 ms before the answer is there, and the processes on the way their time.
 */
constexpr core::Duration kResponseReserve = std::chrono::milliseconds{ 30 };

/** Short objectives leave less, since an answer that leaves too soon lacks many shards. */
constexpr double kMaxResponseReserveShare = 0.375;

/**
 * A busy loop adds its lag before it has read the request, when the parts are due, and before the
 * answer is written: an answer leaves sooner by so many times the usual lag.
 */
constexpr double kLoopLagFactor = 3.0;

/** An answer leaves no sooner than this part of the objective: it would lack too many shards. */
constexpr double kEarliestPartialAnswerShare = 0.6;

/**
 * A shard is left out at first when it is expected to take longer than this part of the objective:
 * estimates are rough, and a shard that is left out for nothing costs coverage.
 */
constexpr double kDeferThresholdShare = 1.25;

/** How long before the deadline the last answer leaves. */
constexpr core::Duration kDeadlineMargin = std::chrono::milliseconds{ 20 };

/** An attempt this many times as old as a usual exchange is a straggler. */
constexpr double kStragglerFactor = 1.8;

/** No attempt is a straggler before this: a hedge costs as much as a part. */
constexpr core::Duration kMinHedgeDelay = std::chrono::milliseconds{ 15 };

/** The latest hedge, as a share of the objective, leaves it time to answer. */
constexpr double kMaxHedgeDelayShare = 0.4;

/**
 * Decides whether a query goes on, is answered as it is, or fails.
 *
 * Answers the load of stragglers: near the objective a query with enough shards goes out partial,
 * since its caller is served better by most of the answer in time than by all of it late.
 */
GatherStep
DecideNextStep(const GatherProgress& aProgress);

/**
 * Chooses the shards that are not asked at first.
 *
 * Answers the load of shards whose replicas are slow or overloaded: what they are sent would come
 * after the objective and lengthen their queues. As many of them as an answer may lack are left
 * out, the slowest first, which takes load off all of them; they are asked when others fail.
 *
 * @param aExpected for each shard, when it would answer; zero when that isn't known.
 * @param aLeast fewest shards that make an answer.
 * @return indexes into `aExpected`.
 */
std::vector<std::size_t>
ChooseDeferredShards(const std::vector<core::Duration>& aExpected,
                     std::size_t aLeast,
                     core::Duration aObjective);

/** @return when DecideNextStep() may change with no further part: a time since arrival. */
core::Duration
NextDecisionAge(const GatherProgress& aProgress);

/**
 * @return how old an attempt must be to get a hedge.
 * @param aUsual how long an exchange with its replica usually takes.
 */
core::Duration
HedgeDelay(core::Duration aUsual, core::Duration aObjective);

} // namespace skylarkwing::query
