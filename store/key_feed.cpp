#include "store/key_feed.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace skylarkwing::store {

KeyFeed::KeyFeed(FeedSourceFunction aSource,
                 core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 const FeedSettings& aSettings,
                 FeedHooks aHooks)
  : mSource(std::move(aSource))
  , mTimers(aTimers)
  , mPrefix(aSettings.prefix)
  , mHooks(std::move(aHooks))
  , mStartBackoff(aRandom, kInitialBackoff, aSettings.maxStartBackoff)
  , mBackoff(aRandom, kInitialBackoff, kMaxBackoff)
  , mRetryRequests(aTimers)
  , mLostKeys(aSettings.lostKeyHoldTime)
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
  ApplySnapshot(result);
  if (aSource.isStaleCopy) {
    mMirror.SetFresh(false);
    aSource.onStaleCopyRead(result);
  } else {
    RecordAnswer(aSource);
  }
  mHooks.onSnapshot(KeysInForce());
  co_return StoreStatus::Done;
}

std::vector<KeyItem>
KeyFeed::KeysInForce() const
{
  std::vector<KeyItem> keys = mMirror.Items();
  const std::vector<KeyItem> lost = mLostKeys.Items();
  keys.insert(keys.end(), lost.begin(), lost.end());
  return keys;
}

void
KeyFeed::ApplySnapshot(const KeyListResult& aRead)
{
  std::vector<KeyItem> items = aRead.items;
  const bool isRestored = HasData() && aRead.position.era != mPosition.era;
  mMayStoreBeOlder = mMayStoreBeOlder || isRestored;
  if (mMayStoreBeOlder) {
    items = KeepNewerKeys(std::move(items));
  }
  if (isRestored) {
    mHooks.onEraChanged(mPosition, aRead.position);
    mLostKeys.Hold(KeysInForce(), items, mTimers.Now());
    ScheduleRelease();
  } else if (aRead.isPartial) {
    AddUnlistedKeys(items);
  }
  for (const KeyItem& item : items) {
    mLostKeys.Release(item.key);
  }
  mPosition = aRead.position;
  mHasRead = true;
  mMirror.Reset(items, aRead.position, aRead.isPartial);
}

void
KeyFeed::AddUnlistedKeys(std::vector<KeyItem>& aItems) const
{
  std::unordered_set<std::string> listed;
  for (const KeyItem& item : aItems) {
    listed.insert(item.key);
  }
  for (KeyItem& known : mMirror.Items()) {
    if (listed.count(known.key) == 0) {
      aItems.push_back(std::move(known));
    }
  }
}

bool
KeyFeed::IsKnownNewer(const KeyItem& aKnown, const KeyItem* aRead) const
{
  return mMayStoreBeOlder && mHooks.isKnownNewer && mHooks.isKnownNewer(aKnown, aRead);
}

std::vector<KeyItem>
KeyFeed::KeepNewerKeys(std::vector<KeyItem> aItems) const
{
  if (!mHooks.isKnownNewer) {
    return aItems;
  }
  std::unordered_map<std::string, std::size_t> indexes;
  for (std::size_t n = 0; n < aItems.size(); ++n) {
    indexes[aItems[n].key] = n;
  }
  for (KeyItem& known : mMirror.Items()) {
    const auto it = indexes.find(known.key);
    const bool isMissing = it == indexes.end();
    if (!IsKnownNewer(known, isMissing ? nullptr : &aItems[it->second])) {
      continue;
    }
    if (isMissing) {
      aItems.push_back(std::move(known));
    } else {
      aItems[it->second] = std::move(known);
    }
  }
  return aItems;
}

void
KeyFeed::ScheduleRelease()
{
  const std::optional<core::TimePoint> due = mLostKeys.NextExpiry();
  if (!due) {
    return;
  }
  mTimers.Schedule(*due - mTimers.Now(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->mIsStopped) {
      return;
    }
    for (const KeyItem& deletion : self->mLostKeys.TakeExpired(self->mTimers.Now())) {
      self->mHooks.onChange(deletion);
    }
    self->ScheduleRelease();
  });
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
  RecordAnswer(aSource);
  ApplyChanges(changes.items, changes.position);
  co_return StoreStatus::Done;
}

void
KeyFeed::ApplyChanges(std::vector<KeyItem> aChanges, const StorePosition& aPosition)
{
  const auto isRejected = [this](const KeyItem& aItem) {
    const KeyItem* known = mMayStoreBeOlder ? mMirror.Find(aItem.key) : nullptr;
    return known != nullptr && IsKnownNewer(*known, aItem.isDeleted ? nullptr : &aItem);
  };
  aChanges.erase(std::remove_if(aChanges.begin(), aChanges.end(), isRejected), aChanges.end());
  mMirror.Apply(aChanges, aPosition.revision);
  for (const KeyItem& item : aChanges) {
    mLostKeys.Release(item.key);
    mHooks.onChange(item);
  }
  mPosition = std::max(mPosition, aPosition);
}

void
KeyFeed::Adopt(KeyItem aItem)
{
  mMayStoreBeOlder = true;
  // Followers would get a change with a later revision than the copy's again and again.
  aItem.revision = mPosition.revision;
  mMirror.Apply({ aItem }, mPosition.revision);
  mHooks.onChange(aItem);
}

StoreStatus
KeyFeed::CheckEra(const StorePosition& aAnswered) const
{
  if (aAnswered.era == mPosition.era) {
    return StoreStatus::Done;
  }
  // The restored store lists changes by revisions that it has assigned again.
  return aAnswered.era > mPosition.era ? StoreStatus::Compacted : StoreStatus::Refused;
}

void
KeyFeed::RecordAnswer(const FeedSource& aSource)
{
  mMirror.SetFresh(aSource.isDirect);
  mAnsweredAt = mTimers.Now();
  if (!mIsAnswering) {
    mIsAnswering = true;
    mIsLost = false;
    mHooks.onStoreAnswered();
  }
}

} // namespace skylarkwing::store
