#include "query/gather_policy.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

core::Duration
PartialAnswerAge(const GatherProgress& aProgress)
{
  const auto lags = std::chrono::duration_cast<core::Duration>(aProgress.loopLag * kLoopLagFactor);
  const auto earliest =
    std::chrono::duration_cast<core::Duration>(aProgress.objective * kEarliestPartialAnswerShare);
  const auto maxReserve =
    std::chrono::duration_cast<core::Duration>(aProgress.objective * kMaxResponseReserveShare);
  const core::Duration reserve = std::min(kResponseReserve, maxReserve);
  return std::max(earliest, aProgress.objective - reserve - lags);
}

core::Duration
FinalAge(const GatherProgress& aProgress)
{
  return aProgress.timeout - std::min(kDeadlineMargin, aProgress.timeout / 4);
}

} // namespace

GatherStep
DecideNextStep(const GatherProgress& aProgress)
{
  if (aProgress.answered == aProgress.shards) {
    return GatherStep::Answer;
  }
  const std::size_t possible = aProgress.shards - aProgress.failed;
  if (possible < aProgress.minAnswered) {
    return GatherStep::Fail;
  }
  const bool isEnough = aProgress.answered >= aProgress.minAnswered;
  const bool isSettled =
    aProgress.answered + aProgress.failed + aProgress.deferred == aProgress.shards;
  const bool isDue = aProgress.age >= PartialAnswerAge(aProgress);
  if (isEnough && (isSettled || isDue)) {
    return GatherStep::Answer;
  }
  // After the objective there is time left, and more load on struggling shards delays all queries.
  const bool isUrgent = aProgress.age >= aProgress.timeout / 2;
  if (aProgress.deferred > 0 &&
      (isUrgent || possible - aProgress.deferred < aProgress.minAnswered)) {
    return GatherStep::SendDeferred;
  }
  return aProgress.age >= FinalAge(aProgress) ? GatherStep::Fail : GatherStep::Wait;
}

std::vector<std::size_t>
ChooseDeferredShards(const std::vector<core::Duration>& aExpected,
                     std::size_t aMinAnswered,
                     core::Duration aObjective)
{
  std::vector<std::size_t> late;
  const auto latest = std::chrono::duration_cast<core::Duration>(aObjective * kDeferThresholdShare);
  for (std::size_t n = 0; n < aExpected.size(); ++n) {
    if (aExpected[n] > latest) {
      late.push_back(n);
    }
  }
  const std::size_t maxDeferred = aExpected.size() - std::min(aMinAnswered, aExpected.size());
  std::sort(late.begin(), late.end(), [&aExpected](std::size_t aLeft, std::size_t aRight) {
    return aExpected[aLeft] > aExpected[aRight];
  });
  late.resize(std::min(late.size(), maxDeferred));
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
  const core::Duration urgent = aProgress.timeout / 2;
  return aProgress.deferred > 0 && aProgress.age < urgent ? std::min(urgent, last) : last;
}

core::Duration
HedgeDelay(core::Duration aTypical, core::Duration aObjective)
{
  const auto latest = std::chrono::duration_cast<core::Duration>(aObjective * kMaxHedgeDelayShare);
  const auto straggler = std::chrono::duration_cast<core::Duration>(aTypical * kStragglerFactor);
  return std::min(std::max(straggler, kMinHedgeDelay), latest);
}

} // namespace skylarkwing::query
