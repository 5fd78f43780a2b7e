#include "store/backoff.h"

#include <algorithm>

namespace skylarkwing::store {

Backoff::Backoff(core::RandomSource& aRandom,
                 core::Duration aInitialRange,
                 core::Duration aMaxRange)
  : mRandom(aRandom)
  , mInitialRange(aInitialRange)
  , mMaxRange(aMaxRange)
  , mRange(aInitialRange)
{
}

core::Duration
Backoff::NextDelay()
{
  const core::Duration half = mRange / 2;
  const auto jitter = mRandom.Below(static_cast<std::uint64_t>(half.count()) + 1);
  mRange = std::min(mRange * 2, mMaxRange);
  return half + core::Duration{ static_cast<core::Duration::rep>(jitter) };
}

} // namespace skylarkwing::store
