#include "store/key_feed.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

KeyFeed::KeyFeed(FeedSourceFunction aSource,
                 core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 std::string aPrefix,
                 FeedHooks aHooks,
                 core::Duration aMostStartBackoff)
  : mSource(std::move(aSource))
  , mTimers(aTimers)
  , mPrefix(std::move(aPrefix))
  , mHooks(std::move(aHooks))
  , mStartBackoff(aRandom, kMinBackoff, aMostStartBackoff)
  , mBackoff(aRandom, kMinBackoff, kMaxBackoff)
  , mCalls(aTimers)
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
  const FeedCallPurpose need = NextNeed();
  const FeedSource source = mSource(need);
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
    // The store may well answer, so that nothing is lost yet.
    source.onFailed(status);
    co_return;
  }
  mIsAnswering = false;
  mMayTryCopy = need != FeedCallPurpose::StaleCopy;
  if (!mIsLost) {
    mIsLost = true;
    mHooks.onStoreLost(status);
  }
  // At a start a call that was lost in an outage has taken time enough.
  mCalledFor = co_await mCalls.Receive(mHasRead ? mTimers.Now() + mBackoff.Next()
                                                : begin + mStartBackoff.Next());
}

void
KeyFeed::RetryNow(FeedCallPurpose aNeed)
{
  if (IsAwaitingFirstRead()) {
    mCalls.Push(aNeed);
  }
}

FeedCallPurpose
KeyFeed::NextNeed()
{
  const bool mayTryCopy = std::exchange(mMayTryCopy, false);
  std::optional<FeedCallPurpose> calledFor = std::exchange(mCalledFor, std::nullopt);
  while (const auto later = mCalls.Poll()) {
    calledFor = later;
  }
  if (mHasRead) {
    return FeedCallPurpose::WatchChanges;
  }
  mIsPatient = mIsPatient || calledFor == FeedCallPurpose::PatientFirstRead;
  if (calledFor) {
    return *calledFor;
  }
  if (mayTryCopy) {
    return FeedCallPurpose::StaleCopy;
  }
  return mIsPatient ? FeedCallPurpose::PatientFirstRead : FeedCallPurpose::FirstRead;
}

core::Task<StoreStatus>
KeyFeed::ReadOnce(FeedSource aSource)
{
  // Whatever a first read lacks comes with the watch after it. A later one must take nothing back.
  const ReadConsistency age =
    mRevision == 0 ? ReadConsistency::Serializable : ReadConsistency::Linearizable;
  const KeyListResult read = co_await aSource.store->ReadAll(mPrefix, age);
  if (read.status != StoreStatus::Done) {
    // A range read knows no history; this keeps the loop from asking again without a pause.
    co_return read.status == StoreStatus::Compacted ? StoreStatus::Malformed : read.status;
  }
  if (!aSource.isDirect && read.revision < mRevision) {
    // Another daemon's copy that is behind would take back what is known here.
    co_return StoreStatus::Refused;
  }
  mRevision = read.revision;
  mHasRead = true;
  mMirror.Reset(read.items, read.revision);
  if (aSource.isStaleCopy) {
    mMirror.SetFresh(false);
    aSource.onStaleCopyRead(read);
  } else {
    NoteAnswer(aSource);
  }
  mHooks.onSnapshot(read.items);
  co_return StoreStatus::Done;
}

core::Task<StoreStatus>
KeyFeed::WatchOnce(FeedSource aSource)
{
  const KeyListResult changes = co_await aSource.store->Watch(mPrefix, mRevision, aSource.wait);
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
    mHooks.onStoreAnswered();
  }
}

} // namespace skylarkwing::store
