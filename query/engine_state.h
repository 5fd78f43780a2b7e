#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/timer_service.h"
#include "query/attempt_budget.h"
#include "query/canary_lock.h"
#include "query/part_latency.h"
#include "query/query_hooks.h"
#include "query/query_result.h"
#include "query/replica_chooser.h"
#include "query/safe_fingerprints.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwing::query {

/** Extra attempts that one profile may still make on one index. */
struct ProfileBudgets
{
  AttemptBudget hedges;
  AttemptBudget retries;
};

/** What an engine counts. */
struct QueryCounters
{
  explicit QueryCounters(core::Metrics& aMetrics);

  prometheus::Counter& firstAttempts;
  prometheus::Counter& retries;
  prometheus::Counter& reroutes;
  prometheus::Counter& hedges;
  prometheus::Counter& hedgeWins;
  prometheus::Counter& cancelled;
  prometheus::Counter& lateAnswers;
  prometheus::Counter& mismatchedAnswers;
  prometheus::Counter& restarts;
  prometheus::Counter& canaries;
  prometheus::Counter& complete;
  prometheus::Counter& partial;
  std::map<QueryRefusal, prometheus::Counter*> refusals;
};

/** What the queries of one engine share. */
struct EngineState
{
  EngineState(core::TimerService& aTimers,
              core::RandomSource& aRandom,
              core::Metrics& aMetrics,
              QueryHooks aHooks,
              QuerySettings aSettings);

  /** @return an id that no part of any daemon had before. */
  std::string NextPartId();

  /** @return the replicas that this daemon knows to have crashed while running a fingerprint. */
  std::vector<std::string> KnownCrashes(std::uint64_t aFingerprint) const;

  /** @return the budgets of a profile on an index. */
  ProfileBudgets& BudgetsOf(const std::string& aIndex, const std::string& aProfile);

  core::TimerService& timers;
  core::RandomSource& random;
  QueryHooks hooks;
  QuerySettings settings;
  QueryCounters counters;
  ReplicaChooser chooser;
  PartLatency latency;
  SafeFingerprints safeFingerprints;
  CanaryLock canaryLock;

private:
  std::string mPartPrefix;
  std::uint64_t mLastPart = 0;
  std::unordered_map<std::string, ProfileBudgets> mBudgets;
};

} // namespace skylarkwing::query
