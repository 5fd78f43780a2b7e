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
 * Answers queries: chooses a snapshot of the index, sends a part to one replica of each shard,
 * hedges and retries within budgets, and merges the answers that arrive in time.
 *
 * Not thread-safe: one instance belongs to one event loop. Tasks returned by Run() may outlive the
 * engine; the hooks must stay valid until they end.
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
   * @param aRequest the query; the task ends before its deadline.
   * @return a complete answer, a partial answer that lists the missing shards, or a refusal.
   */
  core::Task<QueryResult> Run(QueryRequest aRequest);

private:
  std::shared_ptr<EngineState> mState;
};

} // namespace skylarkwing::query
