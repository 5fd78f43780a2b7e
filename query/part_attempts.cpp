#include "query/part_attempts.h"

#include "query/gather_policy.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::query {

namespace {

using upstream::AttemptResult;
using upstream::AttemptStatus;
using upstream::ExtraAttempt;
using upstream::SendRefusal;

/** Attempts for which no connection was made; they cost the replicas nothing. */
constexpr std::size_t kMostNothingSent = 3;

/** Times that a part is turned away before it is given up. */
constexpr std::size_t kMostRefusals = 6;

/**
 * Pause before a replica is asked again that has turned the part away; doubles each time. It is
 * about the time of one request, in which a slot becomes free.
 */
constexpr core::Duration kRefusalPause = std::chrono::milliseconds{ 8 };

/** When a hedge that found no replica is considered again. */
constexpr core::Duration kHedgeReview = std::chrono::milliseconds{ 25 };

/** An attempt isn't worth a start with less time than this. */
constexpr core::Duration kLeastTime = std::chrono::milliseconds{ 10 };

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
  mReplicas.RecordFirstAttempt(mPlan.service);
  mBegunAt = mTimers.Now();
  SendOrWait();
}

std::optional<core::Duration>
PartAttempts::Expected() const
{
  // Nothing was tried before the first attempt, so that any replica may take it.
  return mReplicas.ShortestExpectedTime(MakeOrder());
}

void
PartAttempts::HedgeIfDue()
{
  const auto due = HedgeDue();
  const core::TimePoint now = mTimers.Now();
  if (!due || now < *due) {
    return;
  }
  // A hedge that comes too late as well only adds load. Later, any answer will do.
  const core::TimePoint end = now < mPlan.objective ? mPlan.objective : mPlan.deadline;
  const core::Duration left = end - now;
  const auto expected = mReplicas.ShortestExpectedTime(MakeOrder());
  if (left < kLeastTime || !expected || *expected >= left) {
    mNoHedgeBefore = std::max(now + kHedgeReview, now < mPlan.objective ? mPlan.objective : now);
    return;
  }
  mWasHedged = true;
  if (mReplicas.TryTakeExtraAttempt(mPlan.service, ExtraAttempt::Hedge)) {
    TrySend(left);
  }
}

std::optional<core::TimePoint>
PartAttempts::HedgeDue() const
{
  const bool isHedgeable = mState == PartState::Running && !mWasHedged && !mIsAbandoned &&
                           mPlan.route->isIdempotent && mAsked.size() < mPlan.route->maxAttempts;
  if (!isHedgeable || mAttempts.empty() || !mAttempts.back().attempt) {
    return std::nullopt;
  }
  const upstream::Attempt& latest = *mAttempts.back().attempt;
  return std::max(latest.Start() + HedgeDelay(latest.TypicalTime(), mPlan.route->objective),
                  mNoHedgeBefore);
}

void
PartAttempts::Abandon()
{
  mIsAbandoned = true;
  mReplicas.CancelWait(mPlan.service, mWaiter);
  mWaiter = 0;
}

void
PartAttempts::CancelRunning()
{
  Abandon();
  for (Sent& sent : mAttempts) {
    if (!sent.status && sent.attempt) {
      sent.attempt->Cancel();
    }
  }
}

bool
PartAttempts::MayHaveRun() const
{
  return std::any_of(mAttempts.begin(), mAttempts.end(), [](const Sent& aSent) {
    return !aSent.status || !upstream::IsCertainlyNotRun(*aSent.status);
  });
}

std::optional<core::Duration>
PartAttempts::RestLeft() const
{
  return mReplicas.RemainingBackoff(MakeOrder());
}

bool
PartAttempts::IsRunning() const
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [](const Sent& aSent) { return !aSent.status; });
}

std::string
PartAttempts::Story() const
{
  const auto since = [this](core::TimePoint aTime) {
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(aTime - mBegunAt);
    return std::to_string(span.count());
  };
  std::string story = mPlan.service + ":";
  for (const Sent& sent : mAttempts) {
    story += ' ' + sent.replica + '=';
    story += sent.status ? NameOf(*sent.status) : std::string_view("running");
    story += '@' + since(sent.startedAt) + '-';
    story += sent.status ? since(sent.endedAt) : std::string();
  }
  if (mAttempts.empty()) {
    story += mState == PartState::Deferred ? " deferred" : ' ' + std::string(NameOf(mRefusal));
  }
  return story;
}

upstream::AttemptRequest
PartAttempts::MakeOrder() const
{
  upstream::AttemptRequest order;
  order.service = mPlan.service;
  order.regions = &mPlan.route->regions;
  order.triedReplicas = IsAskingAgain() ? nullptr : &mTried;
  order.allowedReplicas = IsAskingAgain() ? &mTurnedAway : nullptr;
  order.deadline = mPlan.deadline;
  return order;
}

bool
PartAttempts::TrySend(core::Duration aFasterThan)
{
  upstream::AttemptRequest order = MakeOrder();
  order.maxExpectedTime = aFasterThan;
  const std::size_t index = mAttempts.size();
  mAttempts.emplace_back();
  mAttempts.back().startedAt = mTimers.Now();
  ++mSent;
  upstream::SendResult placement =
    mReplicas.Send(order, mPlan.request, [self = shared_from_this(), index](AttemptResult aResult) {
      self->OnResult(index, std::move(aResult));
    });
  if (!placement.attempt) {
    mAttempts.pop_back();
    --mSent;
    mRefusal = placement.refusal;
    return false;
  }
  Sent& sent = mAttempts[index];
  sent.replica = placement.attempt->Replica();
  sent.isFirst = !Contains(mAsked, sent.replica);
  if (sent.isFirst) {
    mAsked.push_back(sent.replica);
    mTried.push_back(sent.replica);
  }
  Erase(mTurnedAway, sent.replica);
  sent.attempt = std::move(placement.attempt);
  return true;
}

bool
PartAttempts::IsAskingAgain() const
{
  return mIsOutOfOthers || mAsked.size() >= mPlan.route->maxAttempts;
}

void
PartAttempts::AskAgainLater()
{
  if (!mReplicas.ShortestExpectedTime(MakeOrder())) {
    Fail();
    return;
  }
  mState = PartState::Waiting;
  const core::Duration pause = kRefusalPause * (1U << (mRefusals - 1));
  mTimers.Schedule(pause, [self = shared_from_this()] {
    if (!self->mIsAbandoned) {
      self->SendOrWait();
    }
  });
}

void
PartAttempts::SendOrWait()
{
  if (mPlan.deadline - mTimers.Now() < kLeastTime) {
    Fail();
    return;
  }
  mState = PartState::Running;
  if (TrySend(core::Duration::zero())) {
    return;
  }
  if (mRefusal != SendRefusal::NoRoom && !IsAskingAgain() && !mTurnedAway.empty()) {
    mIsOutOfOthers = true;
    AskAgainLater();
    return;
  }
  if (mRefusal != SendRefusal::NoRoom) {
    Fail();
    return;
  }
  mState = PartState::Waiting;
  mWaiter =
    mReplicas.WaitForRoom(mPlan.service, mPlan.route->priority, [self = shared_from_this()] {
      self->mWaiter = 0;
      if (!self->mIsAbandoned) {
        self->SendOrWait();
      }
    });
}

void
PartAttempts::OnResult(std::size_t aIndex, AttemptResult aResult)
{
  NoteEnd(mAttempts[aIndex], aResult.status);
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
  } else if (status == AttemptStatus::NotRun && IsAskingAgain()) {
    AskAgainLater();
  } else {
    SendOrWait();
  }
}

void
PartAttempts::NoteEnd(Sent& aSent, AttemptStatus aStatus)
{
  aSent.status = aStatus;
  aSent.endedAt = mTimers.Now();
  aSent.attempt.reset();
  if (aStatus == AttemptStatus::NotRun) {
    ++mRefusals;
    mTurnedAway.push_back(aSent.replica);
  }
  if (aStatus == AttemptStatus::NothingSent) {
    --mSent;
    ++mNothingSent;
    if (aSent.isFirst) {
      Erase(mAsked, aSent.replica);
    } else {
      mTurnedAway.push_back(aSent.replica);
    }
  }
}

bool
PartAttempts::MayRetry(AttemptStatus aStatus)
{
  if (mPlan.deadline - mTimers.Now() < kLeastTime) {
    return false;
  }
  if (aStatus == AttemptStatus::NothingSent) {
    return mNothingSent < kMostNothingSent && (mPlan.route->isIdempotent || !MayHaveRun());
  }
  if (!mPlan.route->isIdempotent && MayHaveRun()) {
    return false;
  }
  // A replica that has turned the part away may be asked again: it is no further replica.
  if ((IsAskingAgain() && mTurnedAway.empty()) || mRefusals > kMostRefusals) {
    return false;
  }
  return mReplicas.TryTakeExtraAttempt(mPlan.service, ExtraAttempt::Retry);
}

void
PartAttempts::Fail()
{
  mState = PartState::Failed;
  mOnChange();
}

} // namespace skylarkwing::query
