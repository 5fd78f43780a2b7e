#include "query/request_run.h"

#include "query/gather_policy.h"
#include "query/record_merge.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::query {

namespace {

/** Delay before work for a disconnected caller is cancelled; most of it ends earlier by itself. */
constexpr core::Duration kCancelDelayAfterDisconnect = std::chrono::milliseconds{ 250 };

/** Retry delay for a request that found no replica; about the time in which a replica restarts. */
constexpr core::Duration kRetryAfterNotRun = std::chrono::milliseconds{ 300 };

/** Maximum number of parts whose attempts are listed in a log line. */
constexpr std::size_t kMaxLoggedParts = 3;

} // namespace

RequestRun::RequestRun(upstream::ReplicaBalancer& aReplicas,
                       core::TimerService& aTimers,
                       RequestPlan aPlan,
                       RequestCallback aCallback)
  : mReplicas(aReplicas)
  , mTimers(aTimers)
  , mPlan(std::move(aPlan))
  , mCallback(std::move(aCallback))
{
  if (!mPlan.terms) {
    const declaration::Route& route = *mPlan.route;
    mPlan.terms = std::make_shared<const upstream::RequestTerms>(
      upstream::RequestTerms{ {}, route.priority, route.regions });
  }
}

void
RequestRun::Start()
{
  MakeParts();
  if (!StartTrialPart()) {
    StartParts();
  }
  mIsStarting = false;
  Review();
}

void
RequestRun::MakeParts()
{
  mParts.reserve(mPlan.services.size());
  for (const std::string& service : mPlan.services) {
    PartPlan plan;
    plan.service = service;
    plan.route = mPlan.route;
    plan.table = mPlan.table;
    plan.request = mPlan.request;
    plan.terms = mPlan.terms;
    plan.deadline = mPlan.deadline;
    plan.objective = mPlan.arrival + mPlan.route->objective;
    plan.crashes = mPlan.crashes;
    plan.isRepeat = mPlan.isRepeat;
    plan.domainsOut = mPlan.domainsOut;
    mParts.push_back(std::make_shared<PartAttempts>(
      mReplicas, mTimers, std::move(plan), [self = weak_from_this()] {
        if (const auto run = self.lock()) {
          run->Review();
        }
      }));
  }
}

bool
RequestRun::StartTrialPart()
{
  if (mParts.size() < 2 || !mPlan.crashes || !mPlan.crashes->IsSuspect()) {
    return false;
  }
  ChooseTrialPart();
  return mTrialPart != nullptr;
}

void
RequestRun::ChooseTrialPart()
{
  // The shard whose replica has ended shows whether the request was the cause.
  mTrialPart = nullptr;
  for (std::size_t n = 0; n < mParts.size(); ++n) {
    const std::shared_ptr<PartAttempts>& part = mParts[n];
    if (part->State() != PartState::Deferred) {
      continue;
    }
    const bool isSuspectThere = mPlan.crashes->IsSuspectAt(mPlan.services[n]);
    if (!part->ExpectedLatency()) {
      if (isSuspectThere) {
        // Fails it now: a replica that comes back must not get it together with the other parts.
        part->Start();
      }
    } else if (!mTrialPart || isSuspectThere) {
      mTrialPart = part;
      if (isSuspectThere) {
        break;
      }
    }
  }
  if (mTrialPart) {
    mTrialPart->Start();
  }
}

void
RequestRun::ReviewTrialPart()
{
  const core::Duration age = mTimers.Now() - mPlan.arrival;
  const core::Duration limit = mPlan.deadline - mPlan.arrival - kDeadlineMargin;
  mIsStarting = true;
  while (mTrialPart && mTrialPart->State() == PartState::Failed && !mTrialPart->MayHaveRun()) {
    ChooseTrialPart();
  }
  mIsStarting = false;
  const PartState state = mTrialPart ? mTrialPart->State() : PartState::Failed;
  if (state == PartState::Failed || age >= limit) {
    Finish(MakeFailure(age >= limit));
    return;
  }
  if (state != PartState::Answered) {
    ScheduleReview(limit);
    return;
  }
  mTrialPart = nullptr;
  mIsStarting = true;
  StartParts();
  mIsStarting = false;
  Review();
}

void
RequestRun::StartParts()
{
  std::vector<core::Duration> expected;
  expected.reserve(mParts.size());
  std::size_t unavailable = 0;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    const auto time = part->ExpectedLatency();
    expected.push_back(time.value_or(core::Duration::zero()));
    if (!time && part->State() == PartState::Deferred) {
      // No replica can take the part, so starting it makes it fail at once.
      part->Start();
      ++unavailable;
    }
  }
  if (mParts.size() - unavailable < mPlan.route->LeastShards()) {
    // The other shards cannot make an acceptable answer.
    return;
  }
  const std::vector<std::size_t> deferred = ChooseDeferredParts(expected);
  for (std::size_t n = 0; n < mParts.size(); ++n) {
    const bool isDeferred = std::find(deferred.begin(), deferred.end(), n) != deferred.end();
    if (!isDeferred && mParts[n]->State() == PartState::Deferred) {
      mParts[n]->Start();
    }
  }
}

std::vector<std::size_t>
RequestRun::ChooseDeferredParts(const std::vector<core::Duration>& aExpected) const
{
  if (!mPlan.route->IsFanOut()) {
    return {};
  }
  return ChooseDeferredShards(aExpected, mPlan.route->LeastShards(), mPlan.route->objective);
}

void
RequestRun::SendDeferred()
{
  mIsStarting = true;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    if (part->State() == PartState::Deferred) {
      part->Start();
    }
  }
  mIsStarting = false;
  Review();
}

void
RequestRun::OnCallerGone()
{
  if (mIsDone) {
    return;
  }
  mTimers.Schedule(kCancelDelayAfterDisconnect, [self = shared_from_this()] {
    for (const std::shared_ptr<PartAttempts>& part : self->mParts) {
      part->CancelRunning();
    }
  });
  RequestResult result;
  result.outcome = RequestOutcome::CallerGone;
  Finish(std::move(result));
}

void
RequestRun::GiveUp()
{
  if (!mIsDone) {
    Finish(MakeFailure(true));
  }
}

void
RequestRun::Interrupt()
{
  const auto mayHaveRun = [](const auto& aPart) { return aPart->MayHaveRun(); };
  if (mIsDone ||
      (!mPlan.route->isIdempotent && std::any_of(mParts.begin(), mParts.end(), mayHaveRun))) {
    return;
  }
  RequestResult result = MakeFailure(false);
  result.isUnreachable = true;
  Finish(std::move(result));
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    part->CancelRunning();
  }
}

void
RequestRun::Review()
{
  if (mIsDone || mIsStarting) {
    return;
  }
  if (mTrialPart) {
    ReviewTrialPart();
  } else if (mPlan.route->IsFanOut()) {
    ReviewGather();
  } else {
    ReviewSingle();
  }
}

void
RequestRun::ReviewGather()
{
  GatherProgress progress;
  progress.shards = mParts.size();
  progress.minAnswered = mPlan.route->LeastShards();
  progress.age = mTimers.Now() - mPlan.arrival;
  progress.objective = mPlan.route->objective;
  progress.loopLag = mPlan.loopLag;
  progress.timeout = mPlan.deadline - mPlan.arrival;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    progress.answered += part->State() == PartState::Answered ? 1 : 0;
    progress.failed += part->State() == PartState::Failed ? 1 : 0;
    progress.deferred += part->State() == PartState::Deferred ? 1 : 0;
  }
  switch (DecideNextStep(progress)) {
    case GatherStep::Answer:
      AnswerGather();
      return;
    case GatherStep::SendDeferred:
      SendDeferred();
      return;
    case GatherStep::Fail:
      Finish(MakeFailure(progress.age >= progress.timeout - kDeadlineMargin));
      return;
    case GatherStep::Wait:
      ScheduleReview(NextDecisionAge(progress));
      return;
  }
}

void
RequestRun::ReviewSingle()
{
  const std::shared_ptr<PartAttempts>& part = mParts.front();
  const core::Duration age = mTimers.Now() - mPlan.arrival;
  const core::Duration limit = mPlan.deadline - mPlan.arrival - kDeadlineMargin;
  const bool isAnswered = part->State() == PartState::Answered;
  const bool isFailed = part->State() == PartState::Failed;
  if (isAnswered || (isFailed && part->Result().status == upstream::AttemptStatus::Failed)) {
    RequestResult result;
    result.outcome = RequestOutcome::Relayed;
    result.response = std::move(part->Result().response);
    result.attempts = part->SentCount();
    Finish(std::move(result), isAnswered);
    return;
  }
  if (isFailed || age >= limit) {
    Finish(MakeFailure(age >= limit));
    return;
  }
  ScheduleReview(limit);
}

void
RequestRun::ScheduleReview(core::Duration aAge)
{
  core::TimePoint due = mPlan.arrival + aAge;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    if (const auto hedge = part->HedgeDue()) {
      due = std::min(due, *hedge);
    }
  }
  // An early review is harmless, so an earlier timer is kept.
  if (mTimer != 0 && mTimerDue <= due) {
    return;
  }
  mTimers.Cancel(mTimer);
  mTimerDue = due;
  mTimer = mTimers.Schedule(due - mTimers.Now(), [self = shared_from_this()] {
    self->mTimer = 0;
    for (const std::shared_ptr<PartAttempts>& part : self->mParts) {
      part->SendHedgeIfDue();
    }
    self->Review();
  });
}

void
RequestRun::AnswerGather()
{
  RequestResult result;
  std::vector<std::string_view> bodies;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    result.attempts += part->SentCount();
    if (part->State() != PartState::Answered) {
      ++result.missingShards;
      result.reason +=
        result.missingShards <= kMaxLoggedParts ? part->AttemptSummary() + "; " : std::string();
      continue;
    }
    bodies.push_back(part->Result().response.body);
    result.signatures.push_back(part->Result().signature);
  }
  result.outcome = result.missingShards == 0 ? RequestOutcome::Complete : RequestOutcome::Partial;
  result.records = MergeRecords(bodies, mPlan.route->topRecords);
  Finish(std::move(result), IsAnsweredWhereSuspect());
}

bool
RequestRun::IsAnsweredWhereSuspect() const
{
  return !mPlan.crashes || std::all_of(mParts.begin(), mParts.end(), [this](const auto& aPart) {
    return aPart->State() == PartState::Answered || !mPlan.crashes->IsSuspectAt(aPart->Service());
  });
}

core::Duration
RequestRun::RetryAfter() const
{
  std::vector<core::Duration> waits;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    if (part->State() == PartState::Failed) {
      waits.push_back(part->RetryDelay().value_or(kRetryAfterNotRun));
    }
  }
  if (waits.empty()) {
    return kRetryAfterNotRun;
  }
  // The query can be answered again as soon as enough of the failed shards are available.
  const std::size_t least = mPlan.route->IsFanOut() ? mPlan.route->LeastShards() : 1;
  const std::size_t available = mParts.size() - waits.size();
  const std::size_t needed =
    std::clamp<std::size_t>(least - std::min(least, available), 1, waits.size());
  std::sort(waits.begin(), waits.end());
  return std::max(waits[needed - 1], kRetryAfterNotRun);
}

RequestResult
RequestRun::MakeFailure(bool aIsLate) const
{
  RequestResult result;
  bool mayHaveRun = false;
  std::size_t loggedParts = 0;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    mayHaveRun = mayHaveRun || part->MayHaveRun();
    result.isUnreachable = result.isUnreachable || part->IsUnreachable();
    if (const auto runAt = part->FirstRunAt()) {
      result.firstRunAt = std::min(result.firstRunAt.value_or(*runAt), *runAt);
    }
    result.attempts += part->SentCount();
    if (part->State() != PartState::Answered && loggedParts++ < kMaxLoggedParts) {
      result.reason += part->AttemptSummary() + "; ";
    }
  }
  result.retryAfter = RetryAfter();
  result.outcome = !mayHaveRun ? RequestOutcome::NotRun
                   : aIsLate   ? RequestOutcome::TimedOut
                               : RequestOutcome::Failed;
  return result;
}

void
RequestRun::Finish(RequestResult aResult, bool aIsAnswered)
{
  // A part that is abandoned lets another one be sent again, which may fail.
  mIsDone = true;
  mTrialPart = nullptr;
  mTimers.Cancel(mTimer);
  mTimer = 0;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    part->Abandon();
  }
  if (mPlan.crashes) {
    mPlan.crashes->End(aIsAnswered);
  }
  const RequestCallback callback = std::move(mCallback);
  callback(std::move(aResult));
}

} // namespace skylarkwing::query
