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
  , mTokens(aBurst)
  , mRefilledAt(aTimers.Now())
{
}

void
CallRateLimiter::SetRate(double aCallsPerSecond)
{
  Refill();
  mCallsPerSecond = aCallsPerSecond;
}

std::optional<core::Duration>
CallRateLimiter::Reserve(core::Duration aMaxWait)
{
  Refill();
  const Seconds wait{ std::max(0.0, (1.0 - mTokens) / mCallsPerSecond) };
  if (wait > aMaxWait) {
    return std::nullopt;
  }
  mTokens -= 1.0;
  return std::chrono::duration_cast<core::Duration>(wait);
}

void
CallRateLimiter::Refill()
{
  const core::TimePoint now = mTimers.Now();
  const Seconds elapsed = now - mRefilledAt;
  mRefilledAt = now;
  mTokens = std::min(mBurst, mTokens + elapsed.count() * mCallsPerSecond);
}

} // namespace skylarkwing::store
