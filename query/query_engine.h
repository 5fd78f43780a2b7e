#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "query/query_hooks.h"
#include "query/query_request.h"
#include "query/query_result.h"

#include <memory>

namespace skylarkwing::query {

struct EngineState;

/**
 * Answers queries: takes one version of the index, asks one replica of each of its shards, hedges
 * and retries within budgets, and merges what came in time.
 *
 * Not thread-safe: one instance belongs to one event loop. Tasks returned by Run() may outlive the
 * engine; the hooks must stay callable for as long.
 */
class QueryEngine
{
public:
  QueryEngine(core::TimerService& aTimers,
              core::RandomSource& aRandom,
              core::Metrics& aMetrics,
              QueryHooks aHooks,
              QuerySettings aSettings = {});

  /**
   * Runs one query.
   *
   * @param aRequest the query; its deadline is kept.
   * @return the answer, complete or with the missing shards named, or a refusal.
   */
  core::Task<QueryResult> Run(QueryRequest aRequest);

private:
  std::shared_ptr<EngineState> mState;
};

} // namespace skylarkwing::query
