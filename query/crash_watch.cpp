#include "query/crash_watch.h"

#include "query/crash_guard.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::query {

CrashWatch::CrashWatch(CrashGuard& aGuard, std::uint64_t aFingerprint, std::string aRequest)
  : mGuard(aGuard)
  , mFingerprint(aFingerprint)
  , mRequest(std::move(aRequest))
{
}

bool
CrashWatch::MaySend() const
{
  return !mGuard.IsQuarantined(mFingerprint);
}

bool
CrashWatch::IsSuspect() const
{
  return mGuard.IsSuspect(mFingerprint);
}

bool
CrashWatch::IsSuspectAt(const std::string& aService) const
{
  const auto crashes = mGuard.mHistory.EvidenceOf(mFingerprint);
  const std::uint32_t shard = CrashGuard::NumberOf(aService);
  return std::any_of(
    crashes.begin(), crashes.end(), [shard](const auto& aCrash) { return aCrash.shard == shard; });
}

void
CrashWatch::RecordLoss(const LostAttempt& aAttempt)
{
  // Taken now, because other losses may begin a new episode before the check ends.
  const std::uint64_t episode = mGuard.EpisodeOf(mFingerprint, aAttempt.sentAt).id;
  mLostServices.insert(aAttempt.service);
  ++mPendingChecks;
  mGuard.mHooks.checkEnded(aAttempt.replica,
                           [self = shared_from_this(), aAttempt, episode](bool aHasEnded) {
                             self->mGuard.Judge(self, aAttempt, episode, aHasEnded);
                             --self->mPendingChecks;
                             self->StartRetries();
                           });
}

void
CrashWatch::RecordAnswer(const std::string& aService, core::TimePoint aSentAt)
{
  mLostServices.erase(aService);
  mGuard.RecordAnswer(mFingerprint, aService, aSentAt);
  mIsCleared = true;
  StartRetries();
}

void
CrashWatch::RequestRetry(RetryFunction aRetry)
{
  mWaitingRetries.push_back(std::move(aRetry));
  StartRetries();
}

void
CrashWatch::EndRetry()
{
  mIsRetrying = false;
  StartRetries();
}

void
CrashWatch::StartRetries()
{
  while (!mWaitingRetries.empty()) {
    const bool maySend = MaySend();
    const bool mustAwaitChecks = mPendingChecks > 0 && (mHasRetried || IsSuspect());
    if (maySend && !mIsCleared && (mIsRetrying || mustAwaitChecks)) {
      return;
    }
    const RetryFunction retry = std::move(mWaitingRetries.front());
    mWaitingRetries.erase(mWaitingRetries.begin());
    mIsRetrying = mIsRetrying || maySend;
    mHasRetried = mHasRetried || maySend;
    retry(maySend);
  }
}

void
CrashWatch::End(bool aIsAnswered)
{
  mIsEnded = true;
  mWaitingRetries.clear();
  if (aIsAnswered && mLostServices.empty()) {
    mGuard.RememberAnswer(mFingerprint);
  }
  PublishAll();
}

void
CrashWatch::PublishAll()
{
  for (const std::uint64_t episode : std::exchange(mUnpublishedEpisodes, {})) {
    mGuard.PublishEpisode(mFingerprint, episode);
  }
}

} // namespace skylarkwing::query
