#include "store/key_feed.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

KeyFeed::KeyFeed(KeyValueStore& aStore,
                 core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 FeedSettings aSettings,
                 FeedHooks aHooks)
  : mStore(aStore)
  , mTimers(aTimers)
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mBackoff(aRandom, mSettings.leastBackoff, mSettings.mostBackoff)
{
}

core::Task<void>
KeyFeed::Run()
{
  const auto self = shared_from_this();
  while (!mIsStopped) {
    const StoreStatus status = mHasRead ? co_await WatchOnce() : co_await ReadOnce();
    if (mIsStopped) {
      co_return;
    }
    if (status == StoreStatus::Done) {
      mBackoff.Reset();
      if (mHasRead && mSettings.pause > core::Duration::zero()) {
        co_await core::Sleep(mTimers, mSettings.pause);
      }
      continue;
    }
    if (status == StoreStatus::HistoryLost) {
      mHasRead = false;
      continue;
    }
    mIsAnswering = false;
    mHooks.onLost(status);
    co_await core::Sleep(mTimers, mBackoff.Next());
  }
}

core::Task<StoreStatus>
KeyFeed::ReadOnce()
{
  const KeyItems read = co_await mStore.ReadAll(mSettings.prefix);
  if (read.status != StoreStatus::Done) {
    // A range read knows no history; this keeps the loop from asking again without a pause.
    co_return read.status == StoreStatus::HistoryLost ? StoreStatus::Garbled : read.status;
  }
  NoteAnswer();
  mRevision = read.revision;
  mHasRead = true;
  mHooks.onAll(read.items);
  co_return StoreStatus::Done;
}

core::Task<StoreStatus>
KeyFeed::WatchOnce()
{
  const KeyItems changes = co_await mStore.Watch(mSettings.prefix, mRevision, mSettings.wait);
  if (changes.status != StoreStatus::Done) {
    co_return changes.status;
  }
  NoteAnswer();
  for (const KeyItem& item : changes.items) {
    mHooks.onChange(item);
  }
  mRevision = std::max(mRevision, changes.revision);
  co_return StoreStatus::Done;
}

void
KeyFeed::NoteAnswer()
{
  if (!mIsAnswering) {
    mIsAnswering = true;
    mHooks.onAnswered();
  }
}

} // namespace skylarkwing::store
