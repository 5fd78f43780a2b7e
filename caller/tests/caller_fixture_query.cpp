#include "caller/tests/caller_fixture.h"

#include <utility>

namespace skylarkwing::caller::test {

core::Task<query::QueryResult>
CallerFixture::Run(query::QueryRequest aRequest)
{
  runs[aRequest.search] += 1;
  std::function<void(std::function<void()>)> wait = [this](std::function<void()> aDone) {
    timers.Schedule(runTime, std::move(aDone));
  };
  co_await core::AwaitCallback(std::move(wait));
  query::QueryResult answer = result;
  co_return answer;
}

} // namespace skylarkwing::caller::test
