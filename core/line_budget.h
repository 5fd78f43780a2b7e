#pragma once

#include "core/timer_service.h"

#include <cstdint>

namespace skylarkwing::core {

/** Bounds the log lines of one kind: so many a second, and the rest are counted. */
class LineBudget
{
public:
  /** @param aLinesPerSecond how many lines may be written in one second. */
  explicit LineBudget(std::uint32_t aLinesPerSecond);

  /** @return whether a line may be written now; one that may not is counted as dropped. */
  bool Take(TimePoint aNow);

  /** @return lines dropped since the last call. */
  std::uint64_t TakeDropped();

private:
  std::uint32_t mLinesPerSecond;
  std::uint32_t mWritten = 0;
  std::uint64_t mDropped = 0;
  TimePoint mSecond{};
};

} // namespace skylarkwing::core
