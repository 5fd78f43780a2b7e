#include "query/part_attempts.h"

#include "query/gather_policy.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::query {

namespace {

using upstream::AttemptKind;
using upstream::AttemptResult;
using upstream::AttemptStatus;
using upstream::ExtraAttempt;
using upstream::SendRefusal;

/** Failed connection attempts per part; they put no load on replicas. */
constexpr std::size_t kMaxConnectFailures = 3;

/** Refusals by replicas after which a part fails. */
constexpr std::size_t kMaxRefusals = 6;

/**
 * Backoff before a replica that refused the part is asked again; doubles with each refusal. It is
 * about the duration of one request, after which a slot becomes free.
 */
constexpr core::Duration kInitialRefusalBackoff = std::chrono::milliseconds{ 8 };

/** Delay before a hedge that found no suitable replica is considered again. */
constexpr core::Duration kHedgeRecheckInterval = std::chrono::milliseconds{ 25 };

/** Longest wait for a rate limit, as a share of the time that is left for wait and exchange. */
constexpr double kMaxWaitShare = 0.5;

/** Shortest time after which it is checked whether a wait for a rate limit is still acceptable. */
constexpr core::Duration kMinWaitReview = std::chrono::milliseconds{ 5 };

/** No attempt is started with less time than this left. */
constexpr core::Duration kMinAttemptTime = std::chrono::milliseconds{ 10 };

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

void
Erase(std::vector<std::string>& aNames, const std::string& aName)
{
  aNames.erase(std::remove(aNames.begin(), aNames.end(), aName), aNames.end());
}

} // namespace

PartAttempts::PartAttempts(upstream::ReplicaBalancer& aReplicas,
                           core::TimerService& aTimers,
                           PartPlan aPlan,
                           std::function<void()> aOnChange)
  : mReplicas(aReplicas)
  , mTimers(aTimers)
  , mPlan(std::move(aPlan))
  , mOnChange(std::move(aOnChange))
{
}

void
PartAttempts::Start()
{
  mStartedAt = mTimers.Now();
  if (!mPlan.isRepeat) {
    mReplicas.RecordFirstAttempt(mPlan.service);
  } else if (!mReplicas.TryTakeExtraAttempt(mPlan.service, ExtraAttempt::Retry)) {
    Fail();
    return;
  }
  SendOrWait();
}

std::optional<core::Duration>
PartAttempts::ExpectedLatency() const
{
  // Nothing has been tried before the first attempt, so any replica may take the part.
  if (MustWaitTooLong()) {
    return std::nullopt;
  }
  return mReplicas.ShortestExpectedTime(MakeAttemptRequest());
}

void
PartAttempts::SendHedgeIfDue()
{
  const auto due = HedgeDue();
  const core::TimePoint now = mTimers.Now();
  if (!due || now < *due) {
    return;
  }
  // A hedge that would miss the objective only adds load. After the objective, the deadline counts.
  const core::TimePoint latest = now < mPlan.objective ? mPlan.objective : mPlan.deadline;
  const core::Duration left = latest - now;
  upstream::AttemptRequest request = MakeAttemptRequest();
  request.kind = AttemptKind::Hedge;
  const auto expected = mReplicas.ShortestExpectedTime(request);
  if (left < kMinAttemptTime || !expected || *expected >= left) {
    mNoHedgeBefore =
      std::max(now + kHedgeRecheckInterval, now < mPlan.objective ? mPlan.objective : now);
    return;
  }
  mWasHedged = true;
  if (mReplicas.TryTakeExtraAttempt(mPlan.service, ExtraAttempt::Hedge)) {
    request.maxExpectedTime = left;
    TrySend(request);
  }
}

std::optional<core::TimePoint>
PartAttempts::HedgeDue() const
{
  const bool isSuspect = mPlan.crashes && mPlan.crashes->IsSuspect();
  const bool isHedgeable = mState == PartState::Running && !mWasHedged && !mIsAbandoned &&
                           mPlan.route->isIdempotent && mAsked.size() < mPlan.route->maxAttempts &&
                           !isSuspect;
  if (!isHedgeable || mAttempts.empty() || !mAttempts.back().attempt) {
    return std::nullopt;
  }
  const upstream::Attempt& newest = *mAttempts.back().attempt;
  return std::max(newest.Start() + HedgeDelay(newest.TypicalTime(), mPlan.route->objective),
                  mNoHedgeBefore);
}

void
PartAttempts::Abandon()
{
  mIsAbandoned = true;
  mReplicas.CancelWait(mPlan.service, mWaiter);
  mWaiter = 0;
  EndAwaitedRetry();
}

void
PartAttempts::CancelRunning()
{
  Abandon();
  for (SentAttempt& sent : mAttempts) {
    if (!sent.status && sent.attempt) {
      sent.attempt->Cancel();
    }
  }
}

bool
PartAttempts::MayHaveRun() const
{
  return FirstRunAt().has_value();
}

std::optional<core::TimePoint>
PartAttempts::FirstRunAt() const
{
  const auto first =
    std::find_if(mAttempts.begin(), mAttempts.end(), [](const SentAttempt& aAttempt) {
      return !aAttempt.status || !upstream::IsCertainlyNotRun(*aAttempt.status);
    });
  return first == mAttempts.end() ? std::nullopt : std::optional<core::TimePoint>(first->startedAt);
}

bool
PartAttempts::IsUnreachable() const
{
  return mRefusal == SendRefusal::Unreachable ||
         std::any_of(mAttempts.begin(), mAttempts.end(), [](const SentAttempt& aAttempt) {
           return !aAttempt.status || *aAttempt.status == AttemptStatus::NothingSent ||
                  *aAttempt.status == AttemptStatus::Lost ||
                  *aAttempt.status == AttemptStatus::TimedOut;
         });
}

std::optional<core::Duration>
PartAttempts::RetryDelay() const
{
  return mReplicas.RetryDelay(MakeAttemptRequest());
}

core::Duration
PartAttempts::MaxWait() const
{
  const core::TimePoint now = mTimers.Now();
  const core::Duration left =
    now < mPlan.objective ? mPlan.objective - now
                          : std::min<core::Duration>(mPlan.route->objective, mPlan.deadline - now);
  return std::chrono::duration_cast<core::Duration>(left * kMaxWaitShare);
}

bool
PartAttempts::MustWaitTooLong() const
{
  const upstream::AttemptRequest request = MakeAttemptRequest();
  if (const auto wait = mReplicas.RateLimitWait(request)) {
    return *wait >= MaxWait();
  }
  // The replicas that don't limit their rate get the requests that the others don't accept.
  return mReplicas.HasLimitedReplica(request) && mReplicas.RoomWaitOf(request) >= MaxWait();
}

bool
PartAttempts::IsRunning() const
{
  return std::any_of(mAttempts.begin(), mAttempts.end(), [](const SentAttempt& aAttempt) {
    return !aAttempt.status;
  });
}

std::string
PartAttempts::AttemptSummary() const
{
  const auto elapsedMs = [this](core::TimePoint aTime) {
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(aTime - mStartedAt);
    return std::to_string(span.count());
  };
  std::string summary = mPlan.service + ":";
  for (const SentAttempt& sent : mAttempts) {
    summary += ' ' + sent.replica + '=';
    summary += sent.status ? NameOf(*sent.status) : std::string_view("running");
    summary += '@' + elapsedMs(sent.startedAt) + '-';
    summary += sent.status ? elapsedMs(sent.endedAt) : std::string();
  }
  if (mAttempts.empty()) {
    summary += mState == PartState::Deferred ? " deferred" : ' ' + std::string(NameOf(mRefusal));
  }
  return summary;
}

upstream::AttemptRequest
PartAttempts::MakeAttemptRequest() const
{
  upstream::AttemptRequest request;
  request.service = mPlan.service;
  request.route = mPlan.route->name;
  request.terms = mPlan.terms.get();
  request.triedReplicas = IsRetryingRefusers() ? nullptr : &mTried;
  request.allowedReplicas = IsRetryingRefusers() ? &mRefusedBy : nullptr;
  request.deadline = mPlan.deadline;
  request.domainsOut = mPlan.domainsOut.get();
  return request;
}

bool
PartAttempts::TrySend(const upstream::AttemptRequest& aRequest)
{
  if (mPlan.crashes && !mPlan.crashes->MaySend()) {
    mRefusal = SendRefusal::Quarantined;
    return false;
  }
  const std::size_t index = mAttempts.size();
  mAttempts.emplace_back();
  mAttempts.back().startedAt = mTimers.Now();
  ++mSent;
  upstream::SendResult sendResult = mReplicas.Send(
    aRequest, mPlan.request, [self = shared_from_this(), index](AttemptResult aResult) {
      self->OnResult(index, std::move(aResult));
    });
  if (!sendResult.attempt) {
    mAttempts.pop_back();
    --mSent;
    mRefusal = sendResult.refusal;
    return false;
  }
  SentAttempt& sent = mAttempts[index];
  sent.replica = sendResult.attempt->Replica();
  sent.isFirst = !Contains(mAsked, sent.replica);
  if (sent.isFirst) {
    mAsked.push_back(sent.replica);
    mTried.push_back(sent.replica);
  }
  Erase(mRefusedBy, sent.replica);
  sent.attempt = std::move(sendResult.attempt);
  return true;
}

bool
PartAttempts::IsRetryingRefusers() const
{
  return mHasTriedAllReplicas || mAsked.size() >= mPlan.route->maxAttempts;
}

void
PartAttempts::RetryAfterBackoff()
{
  if (!mReplicas.ShortestExpectedTime(MakeAttemptRequest())) {
    Fail();
    return;
  }
  mState = PartState::Waiting;
  const core::Duration backoff = kInitialRefusalBackoff * (1U << (mRefusals - 1));
  mTimers.Schedule(backoff, [self = shared_from_this()] {
    if (!self->mIsAbandoned) {
      self->SendOrWait();
    }
  });
}

void
PartAttempts::RetryAfterLoss()
{
  if (!mPlan.crashes) {
    SendOrWait();
    return;
  }
  mState = PartState::Waiting;
  mPlan.crashes->RequestRetry([weak = weak_from_this(), crashes = mPlan.crashes](bool aMayRun) {
    const std::shared_ptr<PartAttempts> self = weak.lock();
    if (!self || self->mIsAbandoned) {
      crashes->EndRetry();
      return;
    }
    self->mIsAwaitedRetry = aMayRun;
    self->SendOrWait();
  });
}

void
PartAttempts::EndAwaitedRetry()
{
  if (std::exchange(mIsAwaitedRetry, false)) {
    mPlan.crashes->EndRetry();
  }
}

void
PartAttempts::ReportToCrashWatch(const SentAttempt& aAttempt, AttemptStatus aStatus)
{
  if (!mPlan.crashes) {
    return;
  }
  if (aStatus == AttemptStatus::Answered) {
    mPlan.crashes->RecordAnswer(mPlan.service, aAttempt.startedAt);
  }
  if (aStatus == AttemptStatus::Lost && !aAttempt.attempt->IsCancelled()) {
    mPlan.crashes->RecordLoss(
      { mPlan.service, aAttempt.replica, aAttempt.attempt->ProcessStart(), aAttempt.startedAt });
  }
}

void
PartAttempts::SendOrWait(bool aHasWaited)
{
  if (mPlan.deadline - mTimers.Now() < kMinAttemptTime) {
    Fail();
    return;
  }
  mState = PartState::Running;
  upstream::AttemptRequest request = MakeAttemptRequest();
  request.kind = mAsked.empty() ? AttemptKind::First : AttemptKind::Retry;
  request.hasWaited = aHasWaited;
  if (TrySend(request)) {
    return;
  }
  const bool mayHaveRoomLater =
    mRefusal == SendRefusal::NoRoom || mRefusal == SendRefusal::RateLimited;
  if (!mayHaveRoomLater && mRefusal != SendRefusal::Quarantined && !IsRetryingRefusers() &&
      !mRefusedBy.empty()) {
    mHasTriedAllReplicas = true;
    RetryAfterBackoff();
    return;
  }
  if (!mayHaveRoomLater || MustWaitTooLong()) {
    Fail();
    return;
  }
  Wait();
}

void
PartAttempts::Wait()
{
  EndAwaitedRetry();
  mState = PartState::Waiting;
  mWaiter =
    mReplicas.WaitForRoom(mPlan.service, mPlan.terms->priority, [self = shared_from_this()] {
      self->mWaiter = 0;
      if (!self->mIsAbandoned) {
        self->SendOrWait(true);
      }
    });
  if (mReplicas.HasLimitedReplica(MakeAttemptRequest())) {
    ReviewWait();
  }
}

void
PartAttempts::ReviewWait()
{
  // Replicas may slow down, and more important requests take the place of this one.
  const core::Duration delay = std::max<core::Duration>(MaxWait(), kMinWaitReview);
  mTimers.Schedule(delay, [self = shared_from_this(), waiter = mWaiter] {
    if (self->mWaiter != waiter) {
      return;
    }
    if (!self->MustWaitTooLong()) {
      self->ReviewWait();
      return;
    }
    self->mReplicas.CancelWait(self->mPlan.service, std::exchange(self->mWaiter, 0));
    self->Fail();
  });
}

void
PartAttempts::OnResult(std::size_t aIndex, AttemptResult aResult)
{
  ReportToCrashWatch(mAttempts[aIndex], aResult.status);
  RecordEnd(mAttempts[aIndex], aResult.status);
  EndAwaitedRetry();
  if (mIsAbandoned || mState == PartState::Answered || mState == PartState::Failed) {
    return;
  }
  const AttemptStatus status = aResult.status;
  if (status == AttemptStatus::Answered || status == AttemptStatus::Failed) {
    mResult = std::move(aResult);
  }
  if (status == AttemptStatus::Answered) {
    mState = PartState::Answered;
    mOnChange();
    return;
  }
  if (IsRunning()) {
    return;
  }
  if (!MayRetry(status)) {
    Fail();
  } else if (status == AttemptStatus::NotRun && IsRetryingRefusers()) {
    RetryAfterBackoff();
  } else if (status == AttemptStatus::Lost) {
    RetryAfterLoss();
  } else {
    SendOrWait();
  }
}

void
PartAttempts::RecordEnd(SentAttempt& aAttempt, AttemptStatus aStatus)
{
  aAttempt.status = aStatus;
  aAttempt.endedAt = mTimers.Now();
  aAttempt.attempt.reset();
  if (aStatus == AttemptStatus::WrongReplica && aAttempt.isFirst) {
    // No replica of the service got the part. The entry itself isn't tried again.
    Erase(mAsked, aAttempt.replica);
  }
  if (aStatus == AttemptStatus::NotRun) {
    ++mRefusals;
    mRefusedBy.push_back(aAttempt.replica);
  }
  if (aStatus == AttemptStatus::NothingSent) {
    --mSent;
    ++mConnectFailures;
    if (aAttempt.isFirst) {
      Erase(mAsked, aAttempt.replica);
    } else {
      mRefusedBy.push_back(aAttempt.replica);
    }
  }
}

bool
PartAttempts::MayRetry(AttemptStatus aStatus)
{
  if (mPlan.deadline - mTimers.Now() < kMinAttemptTime) {
    return false;
  }
  if (aStatus == AttemptStatus::Dropped) {
    // There would be no memory for another answer either.
    return false;
  }
  if (aStatus == AttemptStatus::NothingSent) {
    return mConnectFailures < kMaxConnectFailures && (mPlan.route->isIdempotent || !MayHaveRun());
  }
  if (!mPlan.route->isIdempotent && MayHaveRun()) {
    return false;
  }
  // Asking a replica again that refused the part does not count as a further attempt.
  if ((IsRetryingRefusers() && mRefusedBy.empty()) || mRefusals > kMaxRefusals) {
    return false;
  }
  return mReplicas.TryTakeExtraAttempt(mPlan.service, ExtraAttempt::Retry);
}

void
PartAttempts::Fail()
{
  EndAwaitedRetry();
  mState = PartState::Failed;
  mOnChange();
}

} // namespace skylarkwing::query
