#pragma once

#include "core/timer_service.h"

#include <optional>

namespace skylarkwing::store {

/**
 * Limits how many calls one process makes, so that no fault of one process can use up the store.
 *
 * A token bucket that may go into debt: a call that must wait takes its token at once, so that
 * several waiting calls come out one after another and not together.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class CallRateLimiter
{
public:
  /**
   * @param aTimers tells the time.
   * @param aCallsPerSecond calls earned each second, above 0.
   * @param aBurst calls that can be saved up, at least 1.
   */
  CallRateLimiter(core::TimerService& aTimers, double aCallsPerSecond, double aBurst);

  /** Changes how many calls are earned each second, above 0. */
  void SetRate(double aCallsPerSecond);

  /**
   * Takes one call.
   *
   * @param aLongestWait the longest time that the call can wait for its turn.
   * @return how long it must wait, or nothing when that is too long; then nothing was taken.
   */
  std::optional<core::Duration> Reserve(core::Duration aLongestWait);

private:
  core::TimerService& mTimers;
  double mCallsPerSecond;
  double mBurst;
  double mCalls;
  core::TimePoint mFilledAt;

  void Fill();
};

} // namespace skylarkwing::store
