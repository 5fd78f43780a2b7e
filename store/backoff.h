#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"

namespace skylarkwing::store {

/**
 * Exponential backoff with jitter: each delay is jitter from the upper half of a range that doubles
 * up to a limit. Processes that failed together therefore don't retry together.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class Backoff
{
public:
  /**
   * @param aRandom draws the delays; it must outlive this object.
   * @param aInitialRange upper bound of the first delay; half of it is the lower bound.
   * @param aMaxRange upper bound of every delay.
   */
  Backoff(core::RandomSource& aRandom, core::Duration aInitialRange, core::Duration aMaxRange);

  /** @return the delay before the next attempt; doubles the range for the one after it. */
  core::Duration NextDelay();

  /** Goes back to the initial range, after a success. */
  void Reset() { mRange = mInitialRange; }

private:
  core::RandomSource& mRandom;
  core::Duration mInitialRange;
  core::Duration mMaxRange;
  core::Duration mRange;
};

} // namespace skylarkwing::store
