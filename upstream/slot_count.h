#pragma once

#include "core/timer_service.h"

#include <cstdint>
#include <vector>

namespace skylarkwing::upstream {

/**
 * Counts the used slots of one replica: running searches, and searches that lost their connection
 * and may still run.
 */
class SlotCount
{
public:
  /** Takes a slot. */
  void Take() { ++mRunning; }

  /** Releases a slot. */
  void Release() { --mRunning; }

  /** Keeps a slot, released before, in use until a time, because its search may still run. */
  void KeepUntil(core::TimePoint aUntil, core::TimePoint aNow);

  /** Frees the slots of lost searches, because the process that ran them is gone. */
  void ForgetLost() { mLost.clear(); }

  /** @return the number of running searches. */
  std::uint32_t Running() const { return mRunning; }

  /** @return the number of used slots. */
  std::uint32_t Taken(core::TimePoint aNow) const;

private:
  std::uint32_t mRunning = 0;
  std::vector<core::TimePoint> mLost;
};

} // namespace skylarkwing::upstream
