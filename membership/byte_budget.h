#pragma once

#include "core/timer_service.h"

namespace skylarkwing::membership {

/**
 * A token bucket of bytes: so many a second, and so many at once after a quiet time.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ByteBudget
{
public:
  ByteBudget(core::TimerService& aTimers, double aBytesPerSecond, double aBurstBytes);

  /** @return whether anything may be spent now. */
  bool HasAny() { return Left() > 0.0; }

  /** @return whether more than half of a burst may be spent now, for what can wait for others. */
  bool HasPlenty() { return Left() > mBurstBytes / 2; }

  /** Spends bytes; the last spending may overdraw the budget, which delays the next. */
  void Spend(double aBytes) { mLeft -= aBytes; }

private:
  double Left();

  core::TimerService& mTimers;
  double mBytesPerSecond;
  double mBurstBytes;
  double mLeft;
  core::TimePoint mEarnedAt;
};

} // namespace skylarkwing::membership
