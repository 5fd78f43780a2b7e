#include "store/call_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::store {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

CallRateLimiter::CallRateLimiter(core::TimerService& aTimers, double aCallsPerSecond, double aBurst)
  : mTimers(aTimers)
  , mCallsPerSecond(aCallsPerSecond)
  , mBurst(aBurst)
  , mCalls(aBurst)
  , mFilledAt(aTimers.Now())
{
}

void
CallRateLimiter::SetRate(double aCallsPerSecond)
{
  Fill();
  mCallsPerSecond = aCallsPerSecond;
}

std::optional<core::Duration>
CallRateLimiter::Reserve(core::Duration aLongestWait)
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
CallRateLimiter::Fill()
{
  const core::TimePoint now = mTimers.Now();
  const Seconds passed = now - mFilledAt;
  mFilledAt = now;
  mCalls = std::min(mBurst, mCalls + passed.count() * mCallsPerSecond);
}

} // namespace skylarkwing::store
