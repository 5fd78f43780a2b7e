#include "query/gather_policy.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

core::Duration
PartialAnswerAge(const GatherProgress& aProgress)
{
  const auto lags = std::chrono::duration_cast<core::Duration>(aProgress.lag * kLoopLagFactor);
  const auto earliest =
    std::chrono::duration_cast<core::Duration>(aProgress.objective * kEarliestPartialAnswerShare);
  const auto most =
    std::chrono::duration_cast<core::Duration>(aProgress.objective * kMaxResponseReserveShare);
  const core::Duration usual = std::min(kResponseReserve, most);
  return std::max(earliest, aProgress.objective - usual - lags);
}

core::Duration
FinalAge(const GatherProgress& aProgress)
{
  return aProgress.limit - std::min(kDeadlineMargin, aProgress.limit / 4);
}

} // namespace

GatherStep
DecideNextStep(const GatherProgress& aProgress)
{
  if (aProgress.answered == aProgress.shards) {
    return GatherStep::Answer;
  }
  const std::size_t possible = aProgress.shards - aProgress.failed;
  if (possible < aProgress.least) {
    return GatherStep::Fail;
  }
  const bool isEnough = aProgress.answered >= aProgress.least;
  const bool isSettled =
    aProgress.answered + aProgress.failed + aProgress.deferred == aProgress.shards;
  const bool isDue = aProgress.age >= PartialAnswerAge(aProgress);
  if (isEnough && (isSettled || isDue)) {
    return GatherStep::Answer;
  }
  // Past the objective there is time, and asking more of shards in trouble would delay all queries.
  const bool isUrgent = aProgress.age >= aProgress.limit / 2;
  if (aProgress.deferred > 0 && (isUrgent || possible - aProgress.deferred < aProgress.least)) {
    return GatherStep::SendDeferred;
  }
  return aProgress.age >= FinalAge(aProgress) ? GatherStep::Fail : GatherStep::Wait;
}

std::vector<std::size_t>
ChooseDeferredShards(const std::vector<core::Duration>& aExpected,
                     std::size_t aLeast,
                     core::Duration aObjective)
{
  std::vector<std::size_t> late;
  const auto latest = std::chrono::duration_cast<core::Duration>(aObjective * kDeferThresholdShare);
  for (std::size_t n = 0; n < aExpected.size(); ++n) {
    if (aExpected[n] > latest) {
      late.push_back(n);
    }
  }
  const std::size_t most = aExpected.size() - std::min(aLeast, aExpected.size());
  std::sort(late.begin(), late.end(), [&aExpected](std::size_t aLeft, std::size_t aRight) {
    return aExpected[aLeft] > aExpected[aRight];
  });
  late.resize(std::min(late.size(), most));
  return late;
}

core::Duration
NextDecisionAge(const GatherProgress& aProgress)
{
  const core::Duration partial = PartialAnswerAge(aProgress);
  const core::Duration last = FinalAge(aProgress);
  if (aProgress.age < partial) {
    return std::min(partial, last);
  }
  const core::Duration urgent = aProgress.limit / 2;
  return aProgress.deferred > 0 && aProgress.age < urgent ? std::min(urgent, last) : last;
}

core::Duration
HedgeDelay(core::Duration aUsual, core::Duration aObjective)
{
  const auto latest = std::chrono::duration_cast<core::Duration>(aObjective * kMaxHedgeDelayShare);
  const auto straggler = std::chrono::duration_cast<core::Duration>(aUsual * kStragglerFactor);
  return std::min(std::max(straggler, kMinHedgeDelay), latest);
}

} // namespace skylarkwing::query
