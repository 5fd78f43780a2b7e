#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"

namespace skylarkwing::store {

/**
 * Pauses between failing attempts that double up to a limit, each drawn from the upper half of its
 * range, so that processes that failed together don't come back together.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class Backoff
{
public:
  /**
   * @param aRandom draws the pauses; it must outlive this object.
   * @param aLeast the longest first pause.
   * @param aMost the longest pause of all.
   */
  Backoff(core::RandomSource& aRandom, core::Duration aLeast, core::Duration aMost);

  /** @return the pause before the next attempt; each is up to twice as long as the last. */
  core::Duration Next();

  /** Starts again with the shortest pause. */
  void Reset() { mRange = mLeast; }

private:
  core::RandomSource& mRandom;
  core::Duration mLeast;
  core::Duration mMost;
  core::Duration mRange;
};

} // namespace skylarkwing::store
