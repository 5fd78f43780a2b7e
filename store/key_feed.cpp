#include "store/key_feed.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

KeyFeed::KeyFeed(FeedSourceFunction aSource,
                 core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 std::string aPrefix,
                 FeedHooks aHooks,
                 core::Duration aMaxStartBackoff)
  : mSource(std::move(aSource))
  , mTimers(aTimers)
  , mPrefix(std::move(aPrefix))
  , mHooks(std::move(aHooks))
  , mStartBackoff(aRandom, kInitialBackoff, aMaxStartBackoff)
  , mBackoff(aRandom, kInitialBackoff, kMaxBackoff)
  , mRetryRequests(aTimers)
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
  const core::TimePoint begin = mTimers.Now();
  const FeedCallPurpose purpose = ChoosePurpose();
  const FeedSource source = mSource(purpose);
  if (source.delay > core::Duration::zero()) {
    co_await core::Sleep(mTimers, source.delay);
  }
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
  if (status == StoreStatus::Compacted) {
    mHasRead = false;
    co_return;
  }
  mMirror.SetFresh(false);
  if (!source.isDirect) {
    // Only a relay failed; the store itself may well answer.
    source.onFailed(status);
    co_return;
  }
  mIsAnswering = false;
  mMayTryStaleCopy = purpose != FeedCallPurpose::StaleCopy;
  if (!mIsLost) {
    mIsLost = true;
    mHooks.onStoreLost(status);
  }
  // Before the first read, the time of the failed call counts towards the delay.
  mRequestedPurpose = co_await mRetryRequests.Receive(
    HasData() ? mTimers.Now() + mBackoff.NextDelay() : begin + mStartBackoff.NextDelay());
}

void
KeyFeed::RetryNow(FeedCallPurpose aPurpose)
{
  if (IsAwaitingFirstRead()) {
    mRetryRequests.Push(aPurpose);
  }
}

FeedCallPurpose
KeyFeed::ChoosePurpose()
{
  const bool mayTryStaleCopy = std::exchange(mMayTryStaleCopy, false);
  std::optional<FeedCallPurpose> requested = std::exchange(mRequestedPurpose, std::nullopt);
  while (const auto later = mRetryRequests.Poll()) {
    requested = later;
  }
  if (mHasRead) {
    return FeedCallPurpose::WatchChanges;
  }
  if (HasData()) {
    return FeedCallPurpose::ReadAgain;
  }
  mIsPatient = mIsPatient || requested == FeedCallPurpose::PatientFirstRead;
  if (requested) {
    return *requested;
  }
  if (mayTryStaleCopy) {
    return FeedCallPurpose::StaleCopy;
  }
  return mIsPatient ? FeedCallPurpose::PatientFirstRead : FeedCallPurpose::FirstRead;
}

core::Task<StoreStatus>
KeyFeed::ReadOnce(FeedSource aSource)
{
  // The watch makes up for what a lagging first read misses. Later reads must not go backwards.
  const ReadConsistency consistency =
    HasData() ? ReadConsistency::Linearizable : ReadConsistency::Serializable;
  const KeyListResult result = co_await aSource.store->ReadAll(mPrefix, consistency);
  if (result.status != StoreStatus::Done) {
    // A range read needs no history; without this change of status it would be retried in a loop.
    co_return result.status == StoreStatus::Compacted ? StoreStatus::Malformed : result.status;
  }
  const bool isOlderEra = result.position.era < mPosition.era;
  if (isOlderEra || (!aSource.isDirect && result.position < mPosition)) {
    // A relay that lags behind, or a late answer of the store before it was restored.
    co_return StoreStatus::Refused;
  }
  mPosition = result.position;
  mHasRead = true;
  mMirror.Reset(result.items, result.position);
  if (aSource.isStaleCopy) {
    mMirror.SetFresh(false);
    aSource.onStaleCopyRead(result);
  } else {
    RecordAnswer(aSource);
  }
  mHooks.onSnapshot(result.items);
  co_return StoreStatus::Done;
}

core::Task<StoreStatus>
KeyFeed::WatchOnce(FeedSource aSource)
{
  const KeyListResult changes = co_await aSource.store->Watch(mPrefix, mPosition, aSource.wait);
  if (changes.status != StoreStatus::Done) {
    co_return changes.status;
  }
  const StoreStatus era = CheckEra(changes.position);
  if (era != StoreStatus::Done) {
    co_return era;
  }
  mMirror.Apply(changes.items, changes.position.revision);
  RecordAnswer(aSource);
  for (const KeyItem& item : changes.items) {
    mHooks.onChange(item);
  }
  mPosition = std::max(mPosition, changes.position);
  co_return StoreStatus::Done;
}

StoreStatus
KeyFeed::CheckEra(const StorePosition& aAnswered)
{
  if (aAnswered.era == mPosition.era) {
    return StoreStatus::Done;
  }
  mHooks.onEraChanged(mPosition, aAnswered);
  // The restored store lists changes by revisions that it has assigned again.
  return aAnswered.era > mPosition.era ? StoreStatus::Compacted : StoreStatus::Refused;
}

void
KeyFeed::RecordAnswer(const FeedSource& aSource)
{
  mMirror.SetFresh(aSource.isDirect);
  if (!mIsAnswering) {
    mIsAnswering = true;
    mIsLost = false;
    mHooks.onStoreAnswered();
  }
}

} // namespace skylarkwing::store
