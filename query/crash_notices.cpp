#include "query/crash_notices.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace skylarkwing::query {

namespace {

using store::StoreStatus;
using upstream::CrashEvidence;
using upstream::EvidenceKind;

/** A lease is used again for notices that are written shortly after the first one. */
constexpr core::Duration kMaxLeaseAge = std::chrono::minutes{ 1 };

/** What all daemons know is written by the first of them whose random delay is over. */
constexpr core::Duration kMaxSharedDelay = std::chrono::seconds{ 2 };

/** Pause after a write that the store didn't accept. */
constexpr core::Duration kRetryPause = std::chrono::milliseconds{ 400 };

/** A daemon with a small share writes at least this often. */
constexpr double kMinWritesPerSecond = 0.1;

} // namespace

CrashNotices::CrashNotices(boost::asio::any_io_executor aExecutor,
                           core::TimerService& aTimers,
                           core::RandomSource& aRandom,
                           std::shared_ptr<store::KeyValueStore> aStore,
                           CrashNoticeCodec aCodec,
                           CrashNoticeHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mStore(std::move(aStore))
  , mCodec(std::move(aCodec))
  , mHooks(std::move(aHooks))
  , mWrites(kBurst, aTimers.Now())
{
}

void
CrashNotices::Publish(const CrashEvidence& aEvidence)
{
  // Other daemons may have found the same answer to a crash that all of them know.
  const bool isShared = aEvidence.kind == EvidenceKind::Disproved;
  const auto delay =
    std::chrono::duration_cast<core::Duration>(kMaxSharedDelay * mRandom.Fraction());
  Add(aEvidence, isShared ? delay : core::Duration::zero(), false);
}

void
CrashNotices::OnRead(const CrashEvidence& aEvidence)
{
  const std::string key = mCodec.makeKey(aEvidence);
  const auto pending = mPending.find(key);
  const bool isAnswered =
    pending != mPending.end() &&
    (pending->second.isRepeat || pending->second.evidence.kind == aEvidence.kind);
  if (isAnswered) {
    mPending.erase(pending);
  }
  mKnown[key] = aEvidence;
}

void
CrashNotices::OnLost(const std::string& aKey)
{
  const auto known = mKnown.find(aKey);
  if (known == mKnown.end()) {
    return;
  }
  const CrashEvidence evidence = known->second;
  mKnown.erase(known);
  if (mHooks.isInForce(evidence)) {
    const auto delay =
      std::chrono::duration_cast<core::Duration>(kMaxSharedDelay * mRandom.Fraction());
    Add(evidence, delay, true);
  }
}

void
CrashNotices::OnReadAll(const std::function<bool(const std::string&)>& aExists)
{
  std::vector<std::string> lost;
  for (const auto& [key, evidence] : mKnown) {
    if (!aExists(key)) {
      lost.push_back(key);
    }
  }
  for (const std::string& key : lost) {
    OnLost(key);
  }
}

void
CrashNotices::Add(const CrashEvidence& aEvidence, core::Duration aDelay, bool aIsRepeat)
{
  const std::string key = mCodec.makeKey(aEvidence);
  if (mPending.size() >= kMaxPending && mPending.count(key) == 0) {
    mHooks.onWritten(key, StoreStatus::Refused);
    return;
  }
  const core::TimePoint now = mTimers.Now();
  mPending[key] = { aEvidence, now + aDelay, now + kLifetime, aIsRepeat };
  if (!std::exchange(mIsWriting, true)) {
    core::Start(mExecutor, WriteAll(shared_from_this()));
  }
}

std::map<std::string, CrashNotices::Pending>::iterator
CrashNotices::FindNext()
{
  return std::min_element(
    mPending.begin(), mPending.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.due < aRight.second.due;
    });
}

core::Task<void>
CrashNotices::WriteAll(std::shared_ptr<CrashNotices> aSelf)
{
  CrashNotices& self = *aSelf;
  while (!self.mIsStopped && !self.mPending.empty()) {
    const auto next = self.FindNext();
    const core::TimePoint now = self.mTimers.Now();
    if (next->second.due > now) {
      co_await core::Sleep(self.mTimers, next->second.due - now);
      continue;
    }
    const double rate =
      std::max(kFleetWritesPerSecond * self.mHooks.ownShare(), kMinWritesPerSecond);
    if (!self.mWrites.TryTake(rate, kBurst, now)) {
      co_await core::Sleep(self.mTimers, self.mWrites.TimeUntil(1.0, rate, kBurst, now));
      continue;
    }
    const std::string key = next->first;
    const Pending pending = next->second;
    const StoreStatus status = co_await self.Write(key, self.mCodec.encode(pending.evidence));
    if (self.mIsStopped) {
      co_return;
    }
    self.mHooks.onWritten(key, status);
    const auto written = self.mPending.find(key);
    const bool isCurrent =
      written != self.mPending.end() && written->second.evidence.kind == pending.evidence.kind;
    if (isCurrent && (status == StoreStatus::Done || self.mTimers.Now() >= pending.end)) {
      self.mPending.erase(written);
    }
    if (status != StoreStatus::Done) {
      co_await core::Sleep(self.mTimers, kRetryPause);
    }
  }
  self.mIsWriting = false;
}

core::Task<StoreStatus>
CrashNotices::Write(std::string aKey, std::string aValue)
{
  if (mLease == 0 || mTimers.Now() - mLeaseTakenAt > kMaxLeaseAge) {
    const core::TimePoint now = mTimers.Now();
    const store::LeaseGrant grant = co_await mStore->GrantLease(kLifetime);
    if (grant.status != StoreStatus::Done) {
      co_return grant.status;
    }
    mLease = grant.lease;
    mLeaseTakenAt = now;
  }
  const StoreStatus status = co_await mStore->Put(std::move(aKey), std::move(aValue), mLease);
  if (status == StoreStatus::Absent) {
    mLease = 0;
  }
  co_return status;
}

} // namespace skylarkwing::query
