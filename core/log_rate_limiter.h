#pragma once

#include "core/timer_service.h"

#include <cstdint>

namespace skylarkwing::core {

/** Limits how many log lines of one kind are written per second, and counts the rest. */
class LogRateLimiter
{
public:
  /** @param aLinesPerSecond lines allowed per second. */
  explicit LogRateLimiter(std::uint32_t aLinesPerSecond);

  /** @return whether a line may be written now; otherwise it is counted as dropped. */
  bool Allow(TimePoint aNow);

  /** @return the number of lines dropped since the last call. */
  std::uint64_t TakeDroppedCount();

private:
  std::uint32_t mLinesPerSecond;
  std::uint32_t mWritten = 0;
  std::uint64_t mDropped = 0;
  TimePoint mWindowStart{};
};

} // namespace skylarkwing::core
