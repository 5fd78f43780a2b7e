#include "query/query_engine.h"

#include "query/engine_state.h"
#include "query/query_run.h"

#include <utility>

namespace skylarkwing::query {

QueryEngine::QueryEngine(core::TimerService& aTimers,
                         core::RandomSource& aRandom,
                         core::Metrics& aMetrics,
                         QueryHooks aHooks,
                         QuerySettings aSettings)
  : mState(std::make_shared<EngineState>(aTimers,
                                         aRandom,
                                         aMetrics,
                                         std::move(aHooks),
                                         std::move(aSettings)))
{
}

core::Task<QueryResult>
QueryEngine::Run(QueryRequest aRequest)
{
  const auto state = mState;
  QueryRun run(state, std::move(aRequest));
  QueryResult result = co_await run.Run();
  if (result.status == QueryStatus::Refused) {
    state->counters.refusals.at(result.refusal)->Increment();
  } else if (result.complete) {
    state->counters.complete.Increment();
  } else {
    state->counters.partial.Increment();
  }
  co_return result;
}

} // namespace skylarkwing::query
