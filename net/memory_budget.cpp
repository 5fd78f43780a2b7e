#include "net/memory_budget.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::net {

namespace {

/** What a waiting answer takes without being counted: its begin, and a receive buffer. */
constexpr std::size_t kWaitingAnswerBytes = std::size_t{ 256 } * 1024;
/** Waiting answers take at most this part of the budget. */
constexpr std::size_t kWaitingParts = 8;
constexpr std::size_t kMinWaiting = 2;

} // namespace

MemoryBudget::MemoryBudget(std::size_t aTotalBytes)
  : mTotalBytes(aTotalBytes)
{
}

bool
MemoryBudget::IsFree(std::size_t aBytes, MemoryUse aUse) const
{
  const std::size_t share = mTotalBytes - mTotalBytes / 4;
  return mUsedBytes.at(static_cast<std::size_t>(aUse)) + aBytes <= share &&
         UsedBytes() + aBytes <= mTotalBytes;
}

bool
MemoryBudget::Reclaim(MemoryUse aUse)
{
  return std::any_of(mReclaimers.begin(),
                     mReclaimers.end(),
                     [aUse](const ReclaimFunction& aReclaim) { return aReclaim(aUse); });
}

MemoryWait::MemoryWait(MemoryBudget& aBudget, std::shared_ptr<MemoryWaitLimit> aLimit)
  : mBudget(aBudget)
  , mLimit(std::move(aLimit))
{
  const std::size_t most =
    std::max(kMinWaiting, aBudget.TotalBytes() / kWaitingParts / kWaitingAnswerBytes);
  mIsAllowed = mBudget.mWaiting < most && (!mLimit || mLimit->waiting < mLimit->limit);
  if (mIsAllowed) {
    ++mBudget.mWaiting;
    if (mLimit) {
      ++mLimit->waiting;
    }
  }
}

MemoryWait::~MemoryWait()
{
  if (mIsAllowed) {
    --mBudget.mWaiting;
    if (mLimit) {
      --mLimit->waiting;
    }
  }
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> aBudget, MemoryUse aUse)
  : mBudget(std::move(aBudget))
  , mUse(aUse)
{
}

MemoryReservation::~MemoryReservation()
{
  Set(0);
}

bool
MemoryReservation::MakeRoom(std::size_t aBytes)
{
  // The connection that is closed may be the one that holds this reservation.
  while (aBytes > mBytes && !mBudget->IsFree(aBytes - mBytes, mUse)) {
    if (!mBudget->Reclaim(mUse)) {
      return false;
    }
  }
  return true;
}

void
MemoryReservation::Set(std::size_t aBytes)
{
  if (mBudget) {
    std::size_t& used = mBudget->mUsedBytes.at(static_cast<std::size_t>(mUse));
    used = used - mBytes + aBytes;
  }
  mBytes = aBytes;
}

bool
MemoryReservation::Resize(std::size_t aBytes)
{
  if (mBudget && !MakeRoom(aBytes)) {
    return false;
  }
  Set(aBytes);
  return true;
}

void
MemoryReservation::ForceResize(std::size_t aBytes)
{
  if (mBudget) {
    MakeRoom(aBytes);
  }
  Set(aBytes);
}

} // namespace skylarkwing::net
