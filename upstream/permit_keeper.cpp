#include "upstream/permit_keeper.h"

#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr double kRetryPauseMilliseconds = 300;
constexpr double kJitterShare = 0.25;

} // namespace

PermitKeeper::PermitKeeper(core::TimerService& aTimers,
                           core::RandomSource& aRandom,
                           std::string aName,
                           PermitHooks aHooks)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mName(std::move(aName))
  , mHooks(std::move(aHooks))
{
}

bool
PermitKeeper::IsHeld() const
{
  // The name alone would also find a permit that a former worker of this daemon still holds.
  return mIsAcquired && mHooks.isHeld(mName);
}

bool
PermitKeeper::IsRefused() const
{
  const core::TimePoint now = mTimers.Now();
  const bool isLong = mIsAsking ? now - mAskedAt >= kPatience : now < mNextTry;
  return isLong && !IsHeld();
}

bool
PermitKeeper::MayAsk() const
{
  return !mIsAsking && mTimers.Now() >= mNextTry;
}

core::Task<bool>
PermitKeeper::Acquire()
{
  mIsAsking = true;
  mAskedAt = mTimers.Now();
  std::string name = mName;
  const bool isGranted = co_await mHooks.acquire(std::move(name));
  mIsAsking = false;
  mIsAcquired = isGranted;
  if (!isGranted) {
    const std::chrono::duration<double, std::milli> pause(
      mRandom.Jitter(kRetryPauseMilliseconds, kJitterShare));
    mNextTry = mTimers.Now() + std::chrono::duration_cast<core::Duration>(pause);
  }
  co_return isGranted;
}

void
PermitKeeper::Release()
{
  if (!mIsAcquired) {
    return;
  }
  mIsAcquired = false;
  mHooks.release(mName);
}

} // namespace skylarkwing::upstream
