#include "query/request_run.h"

#include "query/gather_policy.h"
#include "query/record_merge.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::query {

namespace {

/** How long work for a caller that left may go on: most of it ends by itself before. */
constexpr core::Duration kAbandonedWorkTime = std::chrono::milliseconds{ 250 };

/** When a request that found no replica may come again: about the time of a replica's restart. */
constexpr core::Duration kRetryAfterNotRun = std::chrono::milliseconds{ 300 };

/** Parts whose attempts are told in a log line. */
constexpr std::size_t kMostStories = 3;

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
}

void
RequestRun::Start()
{
  MakeParts();
  StartParts();
  mIsStarting = false;
  Review();
}

void
RequestRun::MakeParts()
{
  mParts.reserve(mPlan.services.size());
  for (const std::string& service : mPlan.services) {
    PartPlan plan{ service,       mPlan.route,    mPlan.table,
                   mPlan.request, mPlan.deadline, mPlan.arrival + mPlan.route->objective };
    mParts.push_back(std::make_shared<PartAttempts>(
      mReplicas, mTimers, std::move(plan), [self = weak_from_this()] {
        if (const auto run = self.lock()) {
          run->Review();
        }
      }));
  }
}

void
RequestRun::StartParts()
{
  std::vector<core::Duration> expected;
  expected.reserve(mParts.size());
  std::size_t hopeless = 0;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    const auto time = part->Expected();
    expected.push_back(time.value_or(core::Duration::zero()));
    if (!time) {
      // No replica can take it, so that it fails at once.
      part->Start();
      ++hopeless;
    }
  }
  if (mParts.size() - hopeless < mPlan.route->LeastShards()) {
    // What the other shards answered would serve nobody.
    return;
  }
  const std::vector<std::size_t> deferred = DeferredParts(expected);
  for (std::size_t n = 0; n < mParts.size(); ++n) {
    const bool isDeferred = std::find(deferred.begin(), deferred.end(), n) != deferred.end();
    if (!isDeferred && mParts[n]->State() == PartState::Deferred) {
      mParts[n]->Start();
    }
  }
}

std::vector<std::size_t>
RequestRun::DeferredParts(const std::vector<core::Duration>& aExpected) const
{
  if (!mPlan.route->IsFanOut()) {
    return {};
  }
  return ChooseDeferred(aExpected, mPlan.route->LeastShards(), mPlan.route->objective);
}

void
RequestRun::AskDeferred()
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
RequestRun::CallerGone()
{
  if (mIsDone) {
    return;
  }
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    part->Abandon();
  }
  mTimers.Schedule(kAbandonedWorkTime, [self = shared_from_this()] {
    for (const std::shared_ptr<PartAttempts>& part : self->mParts) {
      part->CancelRunning();
    }
  });
  RequestResult result;
  result.outcome = RequestOutcome::CallerGone;
  Finish(std::move(result));
}

void
RequestRun::Review()
{
  if (mIsDone || mIsStarting) {
    return;
  }
  if (mPlan.route->IsFanOut()) {
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
  progress.least = mPlan.route->LeastShards();
  progress.age = mTimers.Now() - mPlan.arrival;
  progress.objective = mPlan.route->objective;
  progress.lag = mPlan.lag;
  progress.limit = mPlan.deadline - mPlan.arrival;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    progress.answered += part->State() == PartState::Answered ? 1 : 0;
    progress.failed += part->State() == PartState::Failed ? 1 : 0;
    progress.deferred += part->State() == PartState::Deferred ? 1 : 0;
  }
  switch (NextStep(progress)) {
    case GatherStep::Answer:
      AnswerGather();
      return;
    case GatherStep::AskDeferred:
      AskDeferred();
      return;
    case GatherStep::Fail:
      Finish(FailureOf(progress.age >= progress.limit - kDeadlineMargin));
      return;
    case GatherStep::Wait:
      ScheduleReview(NextReview(progress));
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
    result.outcome = RequestOutcome::Passed;
    result.response = std::move(part->Result().response);
    result.attempts = part->SentCount();
    Finish(std::move(result));
    return;
  }
  if (isFailed || age >= limit) {
    Finish(FailureOf(age >= limit));
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
  // A review that comes too early does no harm, so a timer that is set already may stay.
  if (mTimer != 0 && mTimerDue <= due) {
    return;
  }
  mTimers.Cancel(mTimer);
  mTimerDue = due;
  mTimer = mTimers.Schedule(due - mTimers.Now(), [self = shared_from_this()] {
    self->mTimer = 0;
    for (const std::shared_ptr<PartAttempts>& part : self->mParts) {
      part->HedgeIfDue();
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
      result.reason += result.missingShards <= kMostStories ? part->Story() + "; " : std::string();
      continue;
    }
    bodies.push_back(part->Result().response.body);
    result.signatures.push_back(part->Result().signature);
  }
  result.outcome = result.missingShards == 0 ? RequestOutcome::Complete : RequestOutcome::Partial;
  result.records = MergeRecords(bodies, mPlan.route->topRecords);
  Finish(std::move(result));
}

core::Duration
RequestRun::RetryAfter() const
{
  std::vector<core::Duration> waits;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    if (part->State() == PartState::Failed) {
      waits.push_back(part->RestLeft().value_or(kRetryAfterNotRun));
    }
  }
  if (waits.empty()) {
    return kRetryAfterNotRun;
  }
  // As soon as enough of the failed shards are back, a query can be answered again.
  const std::size_t least = mPlan.route->IsFanOut() ? mPlan.route->LeastShards() : 1;
  const std::size_t whole = mParts.size() - waits.size();
  const std::size_t lacking =
    std::clamp<std::size_t>(least - std::min(least, whole), 1, waits.size());
  std::sort(waits.begin(), waits.end());
  return std::max(waits[lacking - 1], kRetryAfterNotRun);
}

RequestResult
RequestRun::FailureOf(bool aIsLate) const
{
  RequestResult result;
  bool mayHaveRun = false;
  std::size_t stories = 0;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    mayHaveRun = mayHaveRun || part->MayHaveRun();
    result.attempts += part->SentCount();
    if (part->State() != PartState::Answered && stories++ < kMostStories) {
      result.reason += part->Story() + "; ";
    }
  }
  result.retryAfter = RetryAfter();
  result.outcome = !mayHaveRun ? RequestOutcome::NotRun
                   : aIsLate   ? RequestOutcome::TimedOut
                               : RequestOutcome::Failed;
  return result;
}

void
RequestRun::Finish(RequestResult aResult)
{
  mIsDone = true;
  mTimers.Cancel(mTimer);
  mTimer = 0;
  for (const std::shared_ptr<PartAttempts>& part : mParts) {
    part->Abandon();
  }
  const RequestCallback callback = std::move(mCallback);
  callback(std::move(aResult));
}

} // namespace skylarkwing::query
