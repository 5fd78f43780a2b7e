#include "query/engine_state.h"

#include <utility>

namespace skylarkwing::query {

namespace {

constexpr QueryRefusal kRefusals[] = {
  QueryRefusal::NoSnapshot,  QueryRefusal::DeadlineTooClose,  QueryRefusal::Overloaded,
  QueryRefusal::Unavailable, QueryRefusal::TooLittleCoverage, QueryRefusal::Quarantined,
};

prometheus::Counter&
AttemptCounter(core::Metrics& aMetrics, const std::string& aKind)
{
  return aMetrics.Counter("skylarkwing_query_attempts_total",
                          "Parts sent, by what each attempt was for.",
                          { { "kind", aKind } });
}

prometheus::Counter&
AnswerCounter(core::Metrics& aMetrics, const std::string& aCoverage)
{
  return aMetrics.Counter("skylarkwing_query_answers_total",
                          "Queries answered, by whether every shard is in the answer.",
                          { { "coverage", aCoverage } });
}

} // namespace

QueryCounters::QueryCounters(core::Metrics& aMetrics)
  : firstAttempts(AttemptCounter(aMetrics, "first"))
  , retries(AttemptCounter(aMetrics, "retry"))
  , reroutes(AttemptCounter(aMetrics, "reroute"))
  , hedges(AttemptCounter(aMetrics, "hedge"))
  , hedgeWins(aMetrics.Counter("skylarkwing_query_hedge_wins_total",
                               "Hedges that answered before the first attempt."))
  , cancelled(aMetrics.Counter("skylarkwing_query_cancelled_parts_total",
                               "Parts given up because another attempt answered or time ran out."))
  , lateAnswers(aMetrics.Counter("skylarkwing_query_late_answers_total",
                                 "Answers of parts that had been given up."))
  , mismatchedAnswers(aMetrics.Counter("skylarkwing_query_mismatched_answers_total",
                                       "Answers dropped for another snapshot or shard."))
  , restarts(aMetrics.Counter("skylarkwing_query_restarts_total",
                              "Queries begun again on another version."))
  , canaries(
      aMetrics.Counter("skylarkwing_query_canaries_total", "Queries whose first part ran alone."))
  , complete(AnswerCounter(aMetrics, "complete"))
  , partial(AnswerCounter(aMetrics, "partial"))
{
  for (const QueryRefusal refusal : kRefusals) {
    refusals[refusal] = &aMetrics.Counter("skylarkwing_query_refusals_total",
                                          "Queries refused, by reason.",
                                          { { "reason", std::string(NameOf(refusal)) } });
  }
}

EngineState::EngineState(core::TimerService& aTimers,
                         core::RandomSource& aRandom,
                         core::Metrics& aMetrics,
                         QueryHooks aHooks,
                         QuerySettings aSettings)
  : timers(aTimers)
  , random(aRandom)
  , hooks(std::move(aHooks))
  , settings(std::move(aSettings))
  , counters(aMetrics)
  , chooser(aRandom, settings.failureDomain, hooks.oneWayLatency)
  , safeFingerprints(aTimers, settings.safeFingerprints, settings.keepSafeFingerprint)
  , canaryLock(aTimers)
  , mPartPrefix(aRandom.Token())
{
}

std::string
EngineState::NextPartId()
{
  return mPartPrefix + "-" + std::to_string(++mLastPart);
}

std::vector<std::string>
EngineState::KnownCrashedReplicas(std::uint64_t aFingerprint) const
{
  if (!hooks.crashedReplicas) {
    return {};
  }
  return hooks.crashedReplicas(aFingerprint);
}

ProfileBudgets&
EngineState::BudgetsOf(const std::string& aIndex, const std::string& aProfile)
{
  return mBudgets[aIndex + "/" + aProfile];
}

} // namespace skylarkwing::query
