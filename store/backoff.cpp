#include "store/backoff.h"

#include <algorithm>

namespace skylarkwing::store {

Backoff::Backoff(core::RandomSource& aRandom, core::Duration aLeast, core::Duration aMost)
  : mRandom(aRandom)
  , mLeast(aLeast)
  , mMost(aMost)
  , mRange(aLeast)
{
}

core::Duration
Backoff::Next()
{
  const core::Duration half = mRange / 2;
  const auto drawn = mRandom.Below(static_cast<std::uint64_t>(half.count()) + 1);
  mRange = std::min(mRange * 2, mMost);
  return half + core::Duration{ static_cast<core::Duration::rep>(drawn) };
}

} // namespace skylarkwing::store
