#include "query/gather_policy.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

core::Duration
PartialTime(const GatherProgress& aProgress)
{
  return aProgress.objective - std::min(kDeliveryTime, aProgress.objective / 4);
}

core::Duration
LastTime(const GatherProgress& aProgress)
{
  return aProgress.limit - std::min(kDeadlineMargin, aProgress.limit / 4);
}

} // namespace

GatherStep
NextStep(const GatherProgress& aProgress)
{
  if (aProgress.answered == aProgress.shards) {
    return GatherStep::Answer;
  }
  if (aProgress.shards - aProgress.failed < aProgress.least) {
    return GatherStep::Fail;
  }
  const bool isEnough = aProgress.answered >= aProgress.least;
  const bool isSettled = aProgress.answered + aProgress.failed == aProgress.shards;
  if (isEnough && (isSettled || aProgress.age >= PartialTime(aProgress))) {
    return GatherStep::Answer;
  }
  return aProgress.age >= LastTime(aProgress) ? GatherStep::Fail : GatherStep::Wait;
}

core::Duration
NextReview(const GatherProgress& aProgress)
{
  const core::Duration partial = PartialTime(aProgress);
  return aProgress.age < partial ? std::min(partial, LastTime(aProgress)) : LastTime(aProgress);
}

core::Duration
HedgeDelay(core::Duration aUsual, core::Duration aObjective)
{
  const auto latest = std::chrono::duration_cast<core::Duration>(aObjective * kLatestHedgeShare);
  const auto straggler = std::chrono::duration_cast<core::Duration>(aUsual * kStragglerFactor);
  return std::min(std::max(straggler, kLeastHedgeDelay), latest);
}

} // namespace skylarkwing::query
