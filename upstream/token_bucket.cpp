#include "upstream/token_bucket.h"

#include <algorithm>

namespace skylarkwing::upstream {

bool
TokenBucket::TryTake(double aRate, double aSize, core::TimePoint aNow)
{
  mTokens = Tokens(aRate, aSize, aNow);
  mRefilledAt = aNow;
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

void
TokenBucket::Charge(double aTokens, double aRate, double aSize, core::TimePoint aNow)
{
  mTokens = std::min(aSize, Tokens(aRate, aSize, aNow) - aTokens);
  mRefilledAt = aNow;
}

double
TokenBucket::Tokens(double aRate, double aSize, core::TimePoint aNow) const
{
  const std::chrono::duration<double> since = aNow - mRefilledAt;
  return std::min(aSize, mTokens + std::max(0.0, since.count()) * aRate);
}

core::Duration
TokenBucket::TimeUntil(double aTokens, double aRate, double aSize, core::TimePoint aNow) const
{
  const double missing = aTokens - Tokens(aRate, aSize, aNow);
  if (missing <= 0.0) {
    return core::Duration::zero();
  }
  const std::chrono::duration<double> never = kNever;
  if (aRate * never.count() <= missing) {
    return kNever;
  }
  // Rounded up, so that the token is there at that time.
  return std::chrono::duration_cast<core::Duration>(
           std::chrono::duration<double>(missing / aRate)) +
         std::chrono::microseconds{ 1 };
}

} // namespace skylarkwing::upstream
