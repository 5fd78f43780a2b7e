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
  // The hook also reports a permit that a former worker of this daemon still holds.
  return mIsAcquired && mHooks.isHeld(mName);
}

bool
PermitKeeper::IsRefused() const
{
  const core::TimePoint now = mTimers.Now();
  const bool isUnavailable = mIsRequesting ? now - mRequestedAt >= kMaxWait : now < mNextRequest;
  return isUnavailable && !IsHeld();
}

bool
PermitKeeper::MayRequest() const
{
  return !mIsRequesting && mTimers.Now() >= mNextRequest;
}

core::Task<bool>
PermitKeeper::Acquire()
{
  mIsRequesting = true;
  mRequestedAt = mTimers.Now();
  std::string name = mName;
  const bool isGranted = co_await mHooks.acquire(std::move(name));
  mIsRequesting = false;
  mIsAcquired = isGranted;
  if (!isGranted) {
    const std::chrono::duration<double, std::milli> pause(
      mRandom.Jitter(kRetryPauseMilliseconds, kJitterShare));
    mNextRequest = mTimers.Now() + std::chrono::duration_cast<core::Duration>(pause);
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
