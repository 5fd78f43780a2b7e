#include "membership/byte_budget.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::membership {

ByteBudget::ByteBudget(core::TimerService& aTimers, double aBytesPerSecond, double aBurstBytes)
  : mTimers(aTimers)
  , mBytesPerSecond(aBytesPerSecond)
  , mBurstBytes(aBurstBytes)
  , mLeft(aBurstBytes)
  , mEarnedAt(aTimers.Now())
{
}

double
ByteBudget::Left()
{
  const std::chrono::duration<double> span = mTimers.Now() - mEarnedAt;
  mEarnedAt = mTimers.Now();
  mLeft = std::min(mLeft + span.count() * mBytesPerSecond, mBurstBytes);
  return mLeft;
}

} // namespace skylarkwing::membership
