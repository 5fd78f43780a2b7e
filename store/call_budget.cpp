#include "store/call_budget.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::store {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

CallBudget::CallBudget(core::TimerService& aTimers, double aCallsPerSecond, double aBurst)
  : mTimers(aTimers)
  , mCallsPerSecond(aCallsPerSecond)
  , mBurst(aBurst)
  , mCalls(aBurst)
  , mFilledAt(aTimers.Now())
{
}

void
CallBudget::SetRate(double aCallsPerSecond)
{
  Fill();
  mCallsPerSecond = aCallsPerSecond;
}

std::optional<core::Duration>
CallBudget::Take(core::Duration aLongestWait)
{
  Fill();
  const Seconds wait{ std::max(0.0, (1.0 - mCalls) / mCallsPerSecond) };
  if (wait > aLongestWait) {
    return std::nullopt;
  }
  mCalls -= 1.0;
  return std::chrono::duration_cast<core::Duration>(wait);
}

void
CallBudget::Fill()
{
  const core::TimePoint now = mTimers.Now();
  const Seconds passed = now - mFilledAt;
  mFilledAt = now;
  mCalls = std::min(mBurst, mCalls + passed.count() * mCallsPerSecond);
}

} // namespace skylarkwing::store
