#pragma once

#include "core/timer_service.h"

namespace skylarkwing::membership {

/**
 * A token bucket that limits sent bytes to an average rate and a burst size.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ByteBudget
{
public:
  ByteBudget(core::TimerService& aTimers, double aBytesPerSecond, double aBurstBytes);

  /** @return whether urgent messages may be sent now. */
  bool CanSpend() { return Available() > 0.0; }

  /** @return whether deferrable messages may be sent now: more than half of a burst is available.
   */
  bool CanSpendDeferred() { return Available() > mBurstBytes / 2; }

  /** Takes bytes out; the balance may become negative, which delays the next message. */
  void Spend(double aBytes) { mAvailable -= aBytes; }

private:
  double Available();

  core::TimerService& mTimers;
  double mBytesPerSecond;
  double mBurstBytes;
  double mAvailable;
  core::TimePoint mRefilledAt;
};

} // namespace skylarkwing::membership
