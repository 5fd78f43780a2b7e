#include "query/query_run.h"

#include "query/canary_selection.h"
#include "query/fingerprint.h"
#include "query/hit_merge.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

using upstream::PartAnswer;
using upstream::PartRefusal;
using upstream::PartStatus;

/** Attempts per shard that failed because of a stale replica status; they put no load on upstreams.
 */
constexpr std::uint32_t kMaxReroutesPerShard = 3;

/** Restarts of a query on another snapshot. */
constexpr std::uint32_t kMaxRestarts = 2;

/** Hedges per shard; the second one helps when the first hedge is a straggler as well. */
constexpr std::uint32_t kMaxHedgesPerShard = 2;

/** Shards that are tried to find a replica that runs the canary. */
constexpr std::uint32_t kMaxCanaryShards = 8;

/** Share of the hedge budget that the hedge delay aims to use; the rest is left for bursts. */
constexpr double kTargetHedgeBudgetShare = 0.75;

/** The hedge delay exceeds its quantile by 1/kHedgeMarginDivisor, so that uniform latencies cause
 * no hedges. */
constexpr int kHedgeMarginDivisor = 10;

/** Upper bound of the hedge delay in median latencies; the budget limits the extra hedges. */
constexpr int kMaxHedgeDelayMedians = 3;

/** @return whether a part was not run because the known replica status was stale. */
bool
IsStaleRoute(const PartAnswer& aAnswer)
{
  if (aAnswer.status != PartStatus::NotRun) {
    return false;
  }
  switch (aAnswer.refusal) {
    case PartRefusal::Cold:
    case PartRefusal::Unavailable:
    case PartRefusal::NotOwner:
    case PartRefusal::WrongSnapshot:
      return true;
    default:
      return false;
  }
}

} // namespace

QueryRun::QueryRun(std::shared_ptr<EngineState> aState, QueryRequest aRequest)
  : mState(std::move(aState))
  , mRequest(std::move(aRequest))
  , mProfile(*mRequest.profile)
  , mFingerprint(FingerprintOf(mRequest.index, mRequest.search))
  , mAnswerBy(mRequest.deadline - mState->settings.mergeReserve)
  , mMailbox(std::make_shared<PartMailbox>(mState->timers))
  , mExposure(mState->KnownCrashedReplicas(mFingerprint))
{
}

core::Task<QueryResult>
QueryRun::Run()
{
  if (IsQuarantined()) {
    co_return Refuse(QueryRefusal::Quarantined);
  }
  if (!HasTimeForAttempt()) {
    co_return Refuse(QueryRefusal::DeadlineTooClose);
  }
  while (ChooseNextSnapshot()) {
    const bool isSafe = co_await RunCanaryIfNeeded();
    if (isSafe) {
      for (std::uint32_t n = 0; n < mShards.size(); ++n) {
        OpenShard(n);
      }
      co_await Gather();
    }
    if (!MayRestart()) {
      QueryResult result = BuildResult();
      co_return result;
    }
    Restart();
  }
  CancelAttempts(std::nullopt);
  if (mBestEarlierAnswer) {
    co_return *mBestEarlierAnswer;
  }
  co_return Refuse(QueryRefusal::NoSnapshot);
}

bool
QueryRun::ChooseNextSnapshot()
{
  mView = mState->hooks.indexView(mRequest.index);
  if (!mView) {
    return false;
  }
  const std::optional<SnapshotChoice> choice = ChooseSnapshot(*mView, mExcludedSnapshots);
  if (!choice) {
    return false;
  }
  mSnapshot = *choice;
  mShards.assign(mSnapshot.shardCount, {});
  return true;
}

core::Task<bool>
QueryRun::RunCanaryIfNeeded()
{
  if (IsKnownSafe()) {
    co_return true;
  }
  const bool hasLock = co_await AcquireCanaryLock();
  if (!hasLock) {
    co_return IsKnownSafe();
  }
  const bool isSafe = co_await RunCanary();
  mState->canaryLock.Release(mFingerprint, mExposure.Crashed());
  co_return isSafe;
}

bool
QueryRun::IsKnownSafe()
{
  return !mExposure.HasCrashed() && mState->safeFingerprints.Contains(mFingerprint);
}

core::Task<bool>
QueryRun::AcquireCanaryLock()
{
  while (HasTimeForAttempt() && !IsQuarantined() && !IsKnownSafe()) {
    const std::shared_ptr<CanaryLock::Waiter> waiter = mState->canaryLock.Acquire(mFingerprint);
    if (!waiter) {
      co_return true;
    }
    const std::optional<CanaryLock::CrashedReplicas> crashed = co_await waiter->Receive(mAnswerBy);
    if (crashed) {
      mExposure.AddCrashed(*crashed);
    }
  }
  co_return false;
}

core::Task<bool>
QueryRun::RunCanary()
{
  mIsCanary = true;
  mState->counters.canaries.Increment();
  const std::uint32_t first = ChooseCanaryShard(mFingerprint, mSnapshot.shardCount);
  const std::uint32_t tries = std::min(mSnapshot.shardCount, kMaxCanaryShards);
  for (std::uint32_t n = 0; n < tries && mIsCanary; ++n) {
    const std::uint32_t shard = (first + n) % mSnapshot.shardCount;
    OpenShard(shard);
    co_await Gather();
    const bool isRefusedUnrun =
      !mExposure.HasReplicasAtRisk() && !IsQuarantined() && mOpenShards == 0;
    if (!isRefusedUnrun || MayRestart()) {
      break;
    }
  }
  const bool isSafe = !mIsCanary;
  mIsCanary = false;
  co_return isSafe;
}

core::Task<void>
QueryRun::Gather()
{
  while (mOpenShards > 0 && !IsQuarantined()) {
    const core::TimePoint until = WakeTime();
    std::optional<PartAnswer> answer = co_await mMailbox->Receive(until);
    if (answer) {
      HandleAnswer(std::move(*answer));
    }
    if (mState->timers.Now() >= mAnswerBy) {
      break;
    }
    SendDueHedges();
    if (std::exchange(mIsSnapshotFailing, false) && MayRestart()) {
      break;
    }
  }
}

void
QueryRun::OpenShard(std::uint32_t aShard)
{
  ShardProgress& shard = mShards[aShard];
  // A shard that ran a canary has used its attempts, even if its answer was incomplete.
  if (shard.isAnswered || shard.isOpen || shard.mayHaveRun) {
    return;
  }
  shard.isOpen = true;
  ++mOpenShards;
  if (!SendTo(aShard, AttemptKind::First)) {
    CloseShard(aShard);
  }
}

void
QueryRun::CloseShard(std::uint32_t aShard)
{
  ShardProgress& shard = mShards[aShard];
  if (!shard.isOpen) {
    return;
  }
  shard.isOpen = false;
  --mOpenShards;
  if (!shard.isAnswered && shard.sawWrongSnapshot) {
    mIsSnapshotFailing = true;
  }
}

bool
QueryRun::SendTo(std::uint32_t aShard, AttemptKind aKind)
{
  const IndexReplica* replica = IsExposureFull() ? nullptr : ChooseReplica(aShard, aKind);
  if (replica == nullptr) {
    return false;
  }
  ShardProgress& shard = mShards[aShard];
  shard.tried.insert(replica->replica);
  ++shard.running;
  const bool isGuarded = IsGuarded();
  if (isGuarded) {
    mExposure.RecordSent(replica->replica);
    ++mGuardedRunning;
  }
  if (aKind == AttemptKind::First) {
    Budgets().hedges.RecordFirstAttempt(mProfile.hedgeBudget);
    Budgets().retries.RecordFirstAttempt(mProfile.retryBudget);
    mState->counters.firstAttempts.Increment();
  }
  const core::TimePoint now = mState->timers.Now();
  if (mProfile.idempotent && shard.hedges < kMaxHedgesPerShard) {
    mHedgeQueue.emplace(now + HedgeDelay(aShard), aShard);
  }
  upstream::PartRequest part = PartFor(aShard, *replica);
  mAttempts[part.partId] = { replica->replica, replica->owner, aShard, now, aKind, isGuarded };
  mState->chooser.RecordSent(part.replica);
  auto callback = [state = mState, mailbox = mMailbox, replica = part.replica](PartAnswer aAnswer) {
    state->chooser.RecordEnded(replica);
    mailbox->Push(std::move(aAnswer));
  };
  mState->hooks.sendPart(std::move(part), std::move(callback));
  return true;
}

const IndexReplica*
QueryRun::ChooseReplica(std::uint32_t aShard, AttemptKind aKind)
{
  if (aKind != AttemptKind::First) {
    RefreshView();
  }
  const SnapshotView* snapshot = mView->Find(mSnapshot.snapshot);
  const std::vector<std::size_t>& holders = snapshot->holders[aShard];
  std::set<std::string> avoided = mShards[aShard].tried;
  avoided.insert(mExposure.Crashed().begin(), mExposure.Crashed().end());
  if (mIsCanary) {
    return ChooseCanaryReplica(*mView, holders, avoided, mFingerprint);
  }
  return mState->chooser.Choose(*mView, holders, avoided, aKind);
}

void
QueryRun::RefreshView()
{
  const std::shared_ptr<const IndexView> view = mState->hooks.indexView(mRequest.index);
  if (!view) {
    return;
  }
  const SnapshotView* snapshot = view->Find(mSnapshot.snapshot);
  if (snapshot != nullptr && snapshot->shardCount == mSnapshot.shardCount) {
    mView = view;
  }
}

bool
QueryRun::IsGuarded() const
{
  // After a successful canary, only attempts that follow a crash are guarded.
  return mIsCanary || mExposure.HasCrashed();
}

bool
QueryRun::IsExposureFull() const
{
  return IsGuarded() && !mExposure.MayExposeAnother();
}

bool
QueryRun::IsQuarantined() const
{
  return mWasRefusedAsQuarantined || mExposure.IsQuarantined();
}

upstream::PartRequest
QueryRun::PartFor(std::uint32_t aShard, const IndexReplica& aReplica) const
{
  upstream::PartRequest part;
  part.partId = mState->NextPartId();
  part.index = mRequest.index;
  part.shard = aShard;
  part.snapshot = mSnapshot.snapshot;
  part.replica = aReplica.replica;
  part.search = mRequest.search;
  part.isIdempotent = mProfile.idempotent;
  part.priority = mProfile.priority;
  part.deadline = PartDeadline(aReplica.owner);
  part.fingerprint = mFingerprint;
  part.isCanary = mIsCanary;
  const std::set<std::string>& crashed = mExposure.Crashed();
  part.crashedReplicas.assign(crashed.begin(), crashed.end());
  return part;
}

core::TimePoint
QueryRun::PartDeadline(const std::string& aOwner) const
{
  const core::TimePoint deadline = mAnswerBy - mState->settings.returnReserve;
  if (!mState->hooks.oneWayLatency) {
    return deadline;
  }
  return deadline - mState->hooks.oneWayLatency(aOwner);
}

void
QueryRun::HandleAnswer(PartAnswer aAnswer)
{
  const auto it = mAttempts.find(aAnswer.partId);
  if (it == mAttempts.end()) {
    if (aAnswer.status == PartStatus::Answered) {
      mState->counters.lateAnswers.Increment();
    }
    return;
  }
  const Attempt attempt = std::move(it->second);
  mAttempts.erase(it);
  --mShards[attempt.shard].running;
  mGuardedRunning -= attempt.isGuarded ? 1 : 0;
  const bool mayHaveRun = aAnswer.status != PartStatus::NotRun;
  mShards[attempt.shard].mayHaveRun |= mayHaveRun;
  mMayHaveRun |= mayHaveRun;
  RecordCrashEvidence(attempt, aAnswer);
  if (aAnswer.status == PartStatus::Answered && !IsForAttempt(aAnswer, attempt)) {
    mState->counters.mismatchedAnswers.Increment();
    aAnswer.status = PartStatus::Unknown;
    aAnswer.refusal = PartRefusal::ConnectionLost;
  }
  if (aAnswer.status == PartStatus::Answered) {
    HandleHits(attempt, std::move(aAnswer));
  } else {
    HandleFailure(attempt, aAnswer);
  }
  ResumeSuspendedShards();
}

void
QueryRun::ResumeSuspendedShards()
{
  if (IsExposureFull() && mGuardedRunning > 0) {
    return;
  }
  for (const std::uint32_t shard : std::exchange(mSuspendedShards, {})) {
    if (mShards[shard].isOpen && !SendTo(shard, AttemptKind::Retry)) {
      CloseShard(shard);
    }
  }
}

bool
QueryRun::IsForAttempt(const PartAnswer& aAnswer, const Attempt& aAttempt) const
{
  return aAnswer.snapshot == mSnapshot.snapshot && aAnswer.shard == aAttempt.shard;
}

void
QueryRun::HandleHits(const Attempt& aAttempt, PartAnswer aAnswer)
{
  const core::Duration latency = mState->timers.Now() - aAttempt.sentAt;
  mState->latency.Record(mRequest.index, aAttempt.shard, latency);
  if (mIsCanary) {
    mState->safeFingerprints.Add(mFingerprint);
    mExposure.Clear();
    mIsCanary = false;
  }
  ShardProgress& shard = mShards[aAttempt.shard];
  if (aAnswer.isComplete) {
    shard.hits = std::move(aAnswer.hits);
    shard.isAnswered = true;
    if (shard.hasCrashed) {
      // Another replica answered what the first one crashed on, so the search is not the cause.
      mExposure.Clear();
    }
    if (aAttempt.kind == AttemptKind::Hedge) {
      mState->counters.hedgeWins.Increment();
    }
    CloseShard(aAttempt.shard);
    CancelAttempts(aAttempt.shard);
    return;
  }
  // Hits of an incomplete answer count until a replica answers for the whole shard.
  if (aAnswer.hits.size() > shard.hits.size()) {
    shard.hits = std::move(aAnswer.hits);
  }
  if (!TryRetry(aAttempt, aAnswer) && shard.running == 0) {
    CloseShard(aAttempt.shard);
  }
}

void
QueryRun::HandleFailure(const Attempt& aAttempt, const PartAnswer& aAnswer)
{
  mFailures.Record(aAnswer.refusal);
  ShardProgress& shard = mShards[aAttempt.shard];
  shard.hasCrashed |= aAnswer.status == PartStatus::Crashed;
  shard.sawWrongSnapshot |= aAnswer.refusal == PartRefusal::WrongSnapshot;
  if (aAnswer.status == PartStatus::Quarantined) {
    mWasRefusedAsQuarantined = true;
    return;
  }
  if (!TryRetry(aAttempt, aAnswer) && shard.running == 0) {
    CloseShard(aAttempt.shard);
  }
}

bool
QueryRun::TryRetry(const Attempt& aAttempt, const PartAnswer& aAnswer)
{
  ShardProgress& shard = mShards[aAttempt.shard];
  const bool mayRunTwice = mProfile.idempotent || aAnswer.status == PartStatus::NotRun;
  if (!mayRunTwice || !HasTimeForAttempt()) {
    return false;
  }
  // Another attempt at this shard is still running and may answer.
  if (shard.running > 0) {
    return false;
  }
  if (aAnswer.refusal == PartRefusal::NotOwner) {
    AllowRetryAtNewOwner(aAttempt);
  }
  if (ChooseReplica(aAttempt.shard, AttemptKind::Retry) == nullptr) {
    return false;
  }
  if (!ConsumeRetry(shard, aAnswer)) {
    return false;
  }
  if (IsExposureFull() && mGuardedRunning > 0) {
    mSuspendedShards.push_back(aAttempt.shard);
    return true;
  }
  return SendTo(aAttempt.shard, AttemptKind::Retry);
}

bool
QueryRun::ConsumeRetry(ShardProgress& aShard, const PartAnswer& aAnswer)
{
  if (IsStaleRoute(aAnswer)) {
    mState->counters.reroutes.Increment();
    return ++aShard.reroutes <= kMaxReroutesPerShard;
  }
  if (mProfile.retryBudget <= 0.0 || !Budgets().retries.TryTake()) {
    return false;
  }
  mState->counters.retries.Increment();
  return true;
}

void
QueryRun::AllowRetryAtNewOwner(const Attempt& aAttempt)
{
  RefreshView();
  for (const IndexReplica& replica : mView->replicas) {
    if (replica.replica == aAttempt.replica && replica.owner != aAttempt.owner) {
      mShards[aAttempt.shard].tried.erase(replica.replica);
    }
  }
}

void
QueryRun::RecordCrashEvidence(const Attempt& aAttempt, const PartAnswer& aAnswer)
{
  mExposure.AddCrashed(aAnswer.crashedReplicas);
  mExposure.RecordEnded(aAttempt.replica, aAnswer.status);
  if (mExposure.HasCrashed()) {
    mState->safeFingerprints.Remove(mFingerprint);
  }
}

void
QueryRun::CancelAttempts(std::optional<std::uint32_t> aShard)
{
  std::vector<std::pair<std::string, std::string>> cancelled;
  const core::TimePoint now = mState->timers.Now();
  for (auto it = mAttempts.begin(); it != mAttempts.end();) {
    const Attempt& attempt = it->second;
    if (aShard && attempt.shard != *aShard) {
      ++it;
      continue;
    }
    // Cancelled parts count with their time so far; otherwise the quantiles would miss stragglers.
    if (attempt.kind != AttemptKind::Hedge) {
      mState->latency.Record(mRequest.index, attempt.shard, now - attempt.sentAt);
    }
    mMayHaveRun = true;
    --mShards[attempt.shard].running;
    mGuardedRunning -= attempt.isGuarded ? 1 : 0;
    cancelled.emplace_back(attempt.replica, it->first);
    it = mAttempts.erase(it);
  }
  for (const auto& [replica, partId] : cancelled) {
    mState->counters.cancelled.Increment();
    mState->hooks.cancelPart(replica, partId);
  }
}

void
QueryRun::SendDueHedges()
{
  if (AreHedgesSuspended()) {
    return;
  }
  const core::TimePoint now = mState->timers.Now();
  while (!mHedgeQueue.empty() && mHedgeQueue.top().first <= now) {
    const std::uint32_t n = mHedgeQueue.top().second;
    mHedgeQueue.pop();
    if (n >= mShards.size() || !MayHedge(mShards[n])) {
      continue;
    }
    if (IsExposureFull() || ChooseReplica(n, AttemptKind::Hedge) == nullptr ||
        !Budgets().hedges.TryTake()) {
      continue;
    }
    ++mShards[n].hedges;
    if (SendTo(n, AttemptKind::Hedge)) {
      mState->counters.hedges.Increment();
    }
  }
}

bool
QueryRun::MayHedge(const ShardProgress& aShard) const
{
  const bool isWaiting = aShard.isOpen && aShard.running > 0 && aShard.hedges < kMaxHedgesPerShard;
  return isWaiting && mProfile.hedgeBudget > 0.0 && !mExposure.HasCrashed() && HasTimeForAttempt();
}

ProfileBudgets&
QueryRun::Budgets()
{
  return mState->BudgetsOf(mRequest.index, mProfile.name);
}

core::Duration
QueryRun::HedgeDelay(std::uint32_t aShard) const
{
  const double affordable = 1.0 - kTargetHedgeBudgetShare * mProfile.hedgeBudget;
  const double quantile = std::max(mProfile.hedgeQuantile, affordable);
  const auto delay = mState->latency.Quantile(mRequest.index, aShard, quantile);
  if (!delay) {
    return mState->settings.defaultHedgeDelay;
  }
  // Without a cap, slow samples from a cold start would delay hedges until they leave the window.
  const core::Duration cap = mState->latency.Median(mRequest.index) * kMaxHedgeDelayMedians;
  const core::Duration bounded = std::min(*delay, cap);
  return bounded + bounded / kHedgeMarginDivisor;
}

bool
QueryRun::AreHedgesSuspended() const
{
  return mExposure.HasCrashed() && mGuardedRunning > 0;
}

core::TimePoint
QueryRun::WakeTime() const
{
  if (mHedgeQueue.empty() || AreHedgesSuspended()) {
    return mAnswerBy;
  }
  return std::min(mAnswerBy, mHedgeQueue.top().first);
}

bool
QueryRun::HasTimeForAttempt() const
{
  const core::Duration remaining = mAnswerBy - mState->timers.Now();
  return remaining > mState->latency.Median(mRequest.index);
}

bool
QueryRun::MayRestart() const
{
  const auto isLost = [](const ShardProgress& aShard) {
    return aShard.IsUnanswerable() && aShard.sawWrongSnapshot;
  };
  if (IsQuarantined() || mRestarts >= kMaxRestarts || !HasTimeForAttempt()) {
    return false;
  }
  if (std::none_of(mShards.begin(), mShards.end(), isLost)) {
    return false;
  }
  const bool mayRunTwice = mProfile.idempotent || (!mMayHaveRun && mAttempts.empty());
  if (!mayRunTwice) {
    return false;
  }
  const std::shared_ptr<const IndexView> view = mState->hooks.indexView(mRequest.index);
  if (!view) {
    return false;
  }
  std::set<std::uint64_t> excluded = mExcludedSnapshots;
  excluded.insert(mSnapshot.snapshot);
  const std::optional<SnapshotChoice> other = ChooseSnapshot(*view, excluded);
  const auto lost = std::count_if(mShards.begin(), mShards.end(), [](const ShardProgress& aShard) {
    return aShard.IsUnanswerable();
  });
  const double reachable = 1.0 - static_cast<double>(lost) / static_cast<double>(mShards.size());
  return other && other->AnswerableShare() > reachable;
}

void
QueryRun::Restart()
{
  ++mRestarts;
  mState->counters.restarts.Increment();
  CancelAttempts(std::nullopt);
  QueryResult result = BuildResult();
  const bool isBetter =
    !mBestEarlierAnswer || ShareOf(result.coverage) > ShareOf(mBestEarlierAnswer->coverage);
  if (result.status == QueryStatus::Answered && isBetter) {
    mBestEarlierAnswer = std::move(result);
  }
  mExcludedSnapshots.insert(mSnapshot.snapshot);
  mHedgeQueue = {};
  mSuspendedShards.clear();
  mOpenShards = 0;
  mIsSnapshotFailing = false;
}

QueryResult
QueryRun::Refuse(QueryRefusal aRefusal) const
{
  QueryResult result;
  result.status = QueryStatus::Refused;
  result.refusal = aRefusal;
  // A quarantined search ran on the replicas that it crashed, though perhaps for another request.
  const bool mayHaveRun = mMayHaveRun || aRefusal == QueryRefusal::Quarantined;
  result.executed = mayHaveRun ? Executed::Unknown : Executed::No;
  result.retryAfter = RetryAfterOf(aRefusal, mState->random);
  return result;
}

QueryResult
QueryRun::BuildResult()
{
  CancelAttempts(std::nullopt);
  if (IsQuarantined()) {
    return Refuse(QueryRefusal::Quarantined);
  }
  const Coverage coverage = CoverageOf(mShards);
  const bool hasHits = std::any_of(mShards.begin(), mShards.end(), [](const ShardProgress& aShard) {
    return aShard.isAnswered || !aShard.hits.empty();
  });
  const bool isEnough = hasHits && ShareOf(coverage) >= mProfile.leastCoverage;
  const bool isEarlierBetter =
    mBestEarlierAnswer && (!isEnough || ShareOf(mBestEarlierAnswer->coverage) > ShareOf(coverage));
  if (isEarlierBetter) {
    return *mBestEarlierAnswer;
  }
  if (!isEnough) {
    QueryResult refusal = Refuse(hasHits ? QueryRefusal::TooLittleCoverage : FailureReason());
    refusal.coverage = coverage;
    refusal.snapshot = mSnapshot.snapshot;
    return refusal;
  }
  std::vector<upstream::Hit> hits;
  for (ShardProgress& shard : mShards) {
    std::move(shard.hits.begin(), shard.hits.end(), std::back_inserter(hits));
  }
  QueryResult result;
  result.status = QueryStatus::Answered;
  result.hits = MergeHits(std::move(hits), mRequest.size);
  result.snapshot = mSnapshot.snapshot;
  result.coverage = coverage;
  result.complete = coverage.missing.empty();
  return result;
}

QueryRefusal
QueryRun::FailureReason() const
{
  const bool isNothingSent = !mMayHaveRun && mFailures.IsEmpty();
  return isNothingSent && !HasTimeForAttempt() ? QueryRefusal::DeadlineTooClose
                                               : mFailures.MainReason();
}

} // namespace skylarkwing::query
