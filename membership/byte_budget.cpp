#include "membership/byte_budget.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::membership {

ByteBudget::ByteBudget(core::TimerService& aTimers, double aBytesPerSecond, double aBurstBytes)
  : mTimers(aTimers)
  , mBytesPerSecond(aBytesPerSecond)
  , mBurstBytes(aBurstBytes)
  , mAvailable(aBurstBytes)
  , mRefilledAt(aTimers.Now())
{
}

double
ByteBudget::Available()
{
  const std::chrono::duration<double> elapsed = mTimers.Now() - mRefilledAt;
  mRefilledAt = mTimers.Now();
  mAvailable = std::min(mAvailable + elapsed.count() * mBytesPerSecond, mBurstBytes);
  return mAvailable;
}

} // namespace skylarkwing::membership
