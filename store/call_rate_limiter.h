#pragma once

#include "core/timer_service.h"

#include <optional>

namespace skylarkwing::store {

/**
 * Limits the rate of calls from one process, so that a faulty process can't overload the store.
 *
 * A token bucket whose balance may go negative: a call that has to wait takes its token at once, so
 * that several waiting calls are spread out and not sent together.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class CallRateLimiter
{
public:
  /**
   * @param aTimers the clock.
   * @param aCallsPerSecond refill rate in tokens, one for each call; above 0.
   * @param aBurst capacity of the bucket in tokens, at least 1.
   */
  CallRateLimiter(core::TimerService& aTimers, double aCallsPerSecond, double aBurst);

  /** Changes the refill rate; above 0. */
  void SetRate(double aCallsPerSecond);

  /**
   * Takes a token for one call.
   *
   * @param aMaxWait the longest time that the call can wait before it is sent.
   * @return how long the call must wait; nothing when that exceeds the limit and no token was
   * taken.
   */
  std::optional<core::Duration> Reserve(core::Duration aMaxWait);

private:
  core::TimerService& mTimers;
  double mCallsPerSecond;
  double mBurst;
  double mTokens;
  core::TimePoint mRefilledAt;

  void Refill();
};

} // namespace skylarkwing::store
