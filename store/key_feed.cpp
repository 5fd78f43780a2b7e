#include "store/key_feed.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

KeyFeed::KeyFeed(FeedSourceFunction aSource,
                 core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 std::string aPrefix,
                 FeedHooks aHooks)
  : mSource(std::move(aSource))
  , mTimers(aTimers)
  , mPrefix(std::move(aPrefix))
  , mHooks(std::move(aHooks))
  , mStartBackoff(aRandom, kLeastBackoff, kMostStartBackoff)
  , mBackoff(aRandom, kLeastBackoff, kMostBackoff)
{
}

core::Task<void>
KeyFeed::Run()
{
  const auto self = shared_from_this();
  while (!mIsStopped) {
    co_await Step();
  }
}

core::Task<void>
KeyFeed::Step()
{
  const FeedSource source = NextSource();
  const StoreStatus status = mHasRead ? co_await WatchOnce(source) : co_await ReadOnce(source);
  if (mIsStopped) {
    co_return;
  }
  if (status == StoreStatus::Done) {
    mBackoff.Reset();
    if (source.pause > core::Duration::zero()) {
      co_await core::Sleep(mTimers, source.pause);
    }
    co_return;
  }
  if (status == StoreStatus::HistoryLost) {
    mHasRead = false;
    co_return;
  }
  mMirror.SetFresh(false);
  if (!source.isDirect) {
    // The store may well answer, so that nothing is lost yet.
    source.onFailed(status);
    co_return;
  }
  mIsAnswering = false;
  mMayTryCopy = true;
  if (!mIsLost) {
    mIsLost = true;
    mHooks.onLost(status);
  }
  co_await core::Sleep(mTimers, mHasRead ? mBackoff.Next() : mStartBackoff.Next());
}

FeedSource
KeyFeed::NextSource()
{
  const bool mustTryCopy = std::exchange(mMayTryCopy, false) && !mHasRead;
  return mSource(mustTryCopy ? FeedNeed::AnyCopy : FeedNeed::Changes);
}

core::Task<StoreStatus>
KeyFeed::ReadOnce(FeedSource aSource)
{
  const KeyItems read = co_await aSource.store->ReadAll(mPrefix);
  if (read.status != StoreStatus::Done) {
    // A range read knows no history; this keeps the loop from asking again without a pause.
    co_return read.status == StoreStatus::HistoryLost ? StoreStatus::Garbled : read.status;
  }
  if (!aSource.isDirect && read.revision < mRevision) {
    // Another daemon's copy that is behind would take back what is known here.
    co_return StoreStatus::Refused;
  }
  mRevision = read.revision;
  mHasRead = true;
  mMirror.Reset(read.items, read.revision);
  if (aSource.isOldCopy) {
    mMirror.SetFresh(false);
    aSource.onOldCopy(read);
  } else {
    NoteAnswer(aSource);
  }
  mHooks.onAll(read.items);
  co_return StoreStatus::Done;
}

core::Task<StoreStatus>
KeyFeed::WatchOnce(FeedSource aSource)
{
  const KeyItems changes = co_await aSource.store->Watch(mPrefix, mRevision, aSource.wait);
  if (changes.status != StoreStatus::Done) {
    co_return changes.status;
  }
  mMirror.Apply(changes.items, changes.revision);
  NoteAnswer(aSource);
  for (const KeyItem& item : changes.items) {
    mHooks.onChange(item);
  }
  mRevision = std::max(mRevision, changes.revision);
  co_return StoreStatus::Done;
}

void
KeyFeed::NoteAnswer(const FeedSource& aSource)
{
  mMirror.SetFresh(aSource.isDirect);
  if (!mIsAnswering) {
    mIsAnswering = true;
    mIsLost = false;
    mHooks.onAnswered();
  }
}

} // namespace skylarkwing::store
