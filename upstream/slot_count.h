#pragma once

#include "core/timer_service.h"

#include <cstdint>
#include <vector>

namespace skylarkwing::upstream {

/**
 * Counts the slots of one replica that are taken: by searches that run, and by searches that lost
 * their connection and may still run.
 */
class SlotCount
{
public:
  /** Takes a slot. */
  void Take() { ++mRunning; }

  /** Gives a slot back. */
  void Release() { --mRunning; }

  /** Keeps a slot, given back before, taken until a time, because its search may run on. */
  void KeepUntil(core::TimePoint aUntil, core::TimePoint aNow);

  /** Frees the slots of lost searches: the process that ran them is gone. */
  void ForgetLost() { mLost.clear(); }

  /** @return searches that run. */
  std::uint32_t Running() const { return mRunning; }

  /** @return slots that are taken. */
  std::uint32_t Taken(core::TimePoint aNow) const;

private:
  std::uint32_t mRunning = 0;
  std::vector<core::TimePoint> mLost;
};

} // namespace skylarkwing::upstream
