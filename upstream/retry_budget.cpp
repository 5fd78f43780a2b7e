#include "upstream/retry_budget.h"

#include <algorithm>

namespace skylarkwing::upstream {

void
RetryBudget::RecordFirstAttempt(core::TimePoint aNow)
{
  ++Advance(aNow).first;
  ++mFirstSum;
}

bool
RetryBudget::TryTake(ExtraAttempt aKind,
                     const RetryBudgetSettings& aSettings,
                     double aShare,
                     core::TimePoint aNow)
{
  mWindow = aSettings.window;
  Slice& slice = Advance(aNow);
  const double slack = aSettings.slack * aShare * SlackRamp(aNow);
  const double whole = (aSettings.ratio * mFirstSum + slack) * kSafetyFactor;
  const double allowed = aKind == ExtraAttempt::Hedge ? whole * (1.0 - kReservedForRetries) : whole;
  if (mExtraSum + 1.0 > allowed) {
    return false;
  }
  ++slice.extra;
  ++mExtraSum;
  return true;
}

double
RetryBudget::SlackRamp(core::TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mProcessStart;
  return std::clamp(age / std::chrono::duration<double>(mWindow), 0.0, 1.0);
}

RetryBudget::Slice&
RetryBudget::Advance(core::TimePoint aNow)
{
  const auto sliceSpan = mWindow / static_cast<std::int64_t>(kSlices - 1);
  const std::int64_t number = aNow.time_since_epoch() / sliceSpan;
  if (number - mSliceNumber >= static_cast<std::int64_t>(kSlices)) {
    mSlices = {};
    mFirstSum = 0;
    mExtraSum = 0;
    mSliceNumber = number;
  }
  while (mSliceNumber < number) {
    ++mSliceNumber;
    Slice& oldest = mSlices[static_cast<std::size_t>(mSliceNumber) % kSlices];
    mFirstSum -= oldest.first;
    mExtraSum -= oldest.extra;
    oldest = {};
  }
  return mSlices[static_cast<std::size_t>(number) % kSlices];
}

} // namespace skylarkwing::upstream
