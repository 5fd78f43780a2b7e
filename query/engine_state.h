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

/** Budgets for extra attempts of one profile on one index. */
struct ProfileBudgets
{
  AttemptBudget hedges;
  AttemptBudget retries;
};

/** Metrics of a query engine. */
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

/** State shared by all queries of one engine. */
struct EngineState
{
  EngineState(core::TimerService& aTimers,
              core::RandomSource& aRandom,
              core::Metrics& aMetrics,
              QueryHooks aHooks,
              QuerySettings aSettings);

  /** @return a new part id, unique across daemons. */
  std::string NextPartId();

  /** @return the replicas known here to have crashed while running a fingerprint. */
  std::vector<std::string> KnownCrashedReplicas(std::uint64_t aFingerprint) const;

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
