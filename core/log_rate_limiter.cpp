#include "core/log_rate_limiter.h"

#include <utility>

namespace skylarkwing::core {

LogRateLimiter::LogRateLimiter(std::uint32_t aLinesPerSecond)
  : mLinesPerSecond(aLinesPerSecond)
{
}

bool
LogRateLimiter::Allow(TimePoint aNow)
{
  if (aNow - mWindowStart >= std::chrono::seconds{ 1 }) {
    mWindowStart = aNow;
    mWritten = 0;
  }
  if (mWritten >= mLinesPerSecond) {
    ++mDropped;
    return false;
  }
  ++mWritten;
  return true;
}

std::uint64_t
LogRateLimiter::TakeDroppedCount()
{
  return std::exchange(mDropped, 0);
}

} // namespace skylarkwing::core
