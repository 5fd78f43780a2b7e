#include "query/query_run.h"

#include "query/canary_order.h"
#include "query/fingerprint.h"
#include "query/hit_merge.h"

#include <algorithm>

namespace skylarkwing::query {

namespace {

using upstream::PartAnswer;
using upstream::PartRefusal;
using upstream::PartStatus;

/** Attempts per shard that were sent astray by stale facts and cost no upstream anything. */
constexpr std::uint32_t kMostReroutes = 3;

/** Times that a query may begin again on another version. */
constexpr std::uint32_t kMostRestarts = 2;

/** Hedges for one shard; the second is for the case that the first meets a straggler as well. */
constexpr std::uint32_t kMostHedges = 2;

/** Shards that are asked for a replica to run the canary. */
constexpr std::uint32_t kMostCanaryShards = 8;

/** Share of the hedge budget that the hedge delay aims to spend, so that bursts find tokens. */
constexpr double kPlannedBudgetShare = 0.75;

/** A hedge waits longer than its quantile by this part, so that even latencies cause no hedges. */
constexpr int kHedgeMarginDivisor = 10;

/** A hedge waits for this many usual times of a part at most; its budget bounds what that costs. */
constexpr int kMostMedians = 3;

/** @return whether a replica was asked in vain because the asker's facts were stale. */
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
  , mExposure(mState->KnownCrashes(mFingerprint))
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
  while (Begin()) {
    const bool isSafe = co_await PassCanary();
    if (isSafe) {
      for (std::uint32_t n = 0; n < mShards.size(); ++n) {
        OpenShard(n);
      }
      co_await Gather();
    }
    if (!MayRestart()) {
      QueryResult result = Conclude();
      co_return result;
    }
    Restart();
  }
  CancelAttempts(std::nullopt);
  if (mEarlierAnswer) {
    co_return *mEarlierAnswer;
  }
  co_return Refuse(QueryRefusal::NoSnapshot);
}

bool
QueryRun::Begin()
{
  mView = mState->hooks.indexView(mRequest.index);
  if (!mView) {
    return false;
  }
  const std::optional<SnapshotChoice> choice = ChooseSnapshot(*mView, mDeadSnapshots);
  if (!choice) {
    return false;
  }
  mSnapshot = *choice;
  mShards.assign(mSnapshot.shardCount, {});
  return true;
}

core::Task<bool>
QueryRun::PassCanary()
{
  if (IsKnownSafe()) {
    co_return true;
  }
  const bool hasPlace = co_await AwaitPlace();
  if (!hasPlace) {
    co_return IsKnownSafe();
  }
  const bool isSafe = co_await RunCanary();
  mState->canaryGate.Leave(mFingerprint, mExposure.Crashed());
  co_return isSafe;
}

bool
QueryRun::IsKnownSafe()
{
  return !mExposure.HasCrashed() && mState->safeFingerprints.Contains(mFingerprint);
}

core::Task<bool>
QueryRun::AwaitPlace()
{
  while (HasTimeForAttempt() && !IsQuarantined() && !IsKnownSafe()) {
    const std::shared_ptr<CanaryGate::Waiter> waiter = mState->canaryGate.Enter(mFingerprint);
    if (!waiter) {
      co_return true;
    }
    const std::optional<CanaryGate::Crashed> crashed = co_await waiter->Receive(mAnswerBy);
    if (crashed) {
      mExposure.Learn(*crashed);
    }
  }
  co_return false;
}

core::Task<bool>
QueryRun::RunCanary()
{
  mIsCanary = true;
  mState->counters.canaries.Increment();
  const std::uint32_t first = CanaryShardOf(mFingerprint, mSnapshot.shardCount);
  const std::uint32_t tries = std::min(mSnapshot.shardCount, kMostCanaryShards);
  for (std::uint32_t n = 0; n < tries && mIsCanary; ++n) {
    const std::uint32_t shard = (first + n) % mSnapshot.shardCount;
    OpenShard(shard);
    co_await Gather();
    const bool isRefusedUnrun = !mExposure.IsAtRisk() && !IsQuarantined() && mOpenShards == 0;
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
      TakeAnswer(std::move(*answer));
    }
    if (mState->timers.Now() >= mAnswerBy) {
      break;
    }
    SendDueHedges();
    if (std::exchange(mIsVersionFailing, false) && MayRestart()) {
      break;
    }
  }
}

void
QueryRun::OpenShard(std::uint32_t aShard)
{
  ShardProgress& shard = mShards[aShard];
  // What ran as a canary, if only in part, has had its further attempts already.
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
    mIsVersionFailing = true;
  }
}

bool
QueryRun::SendTo(std::uint32_t aShard, AttemptKind aKind)
{
  const ReplicaView* replica = IsHeldBack() ? nullptr : Candidate(aShard, aKind);
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
  if (mProfile.idempotent && shard.hedges < kMostHedges) {
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

const ReplicaView*
QueryRun::Candidate(std::uint32_t aShard, AttemptKind aKind)
{
  if (aKind != AttemptKind::First) {
    RefreshView();
  }
  const SnapshotView* version = mView->Find(mSnapshot.snapshot);
  const std::vector<std::size_t>& holders = version->holders[aShard];
  std::set<std::string> avoided = mShards[aShard].tried;
  avoided.insert(mExposure.Crashed().begin(), mExposure.Crashed().end());
  if (mIsCanary) {
    return FirstInCanaryOrder(*mView, holders, avoided, mFingerprint);
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
  const SnapshotView* version = view->Find(mSnapshot.snapshot);
  if (version != nullptr && version->shardCount == mSnapshot.shardCount) {
    mView = view;
  }
}

bool
QueryRun::IsGuarded() const
{
  // Once a canary has passed, only attempts that follow a crash are held back.
  return mIsCanary || mExposure.HasCrashed();
}

bool
QueryRun::IsHeldBack() const
{
  return IsGuarded() && !mExposure.HasRoom();
}

bool
QueryRun::IsQuarantined() const
{
  return mWasRefusedAsQuarantined || mExposure.IsQuarantined();
}

upstream::PartRequest
QueryRun::PartFor(std::uint32_t aShard, const ReplicaView& aReplica) const
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
  const core::TimePoint deadline = mAnswerBy - mState->settings.wayReserve;
  if (!mState->hooks.wayTo) {
    return deadline;
  }
  return deadline - mState->hooks.wayTo(aOwner);
}

void
QueryRun::TakeAnswer(PartAnswer aAnswer)
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
  NoteEvidence(attempt, aAnswer);
  if (aAnswer.status == PartStatus::Answered && !IsForAttempt(aAnswer, attempt)) {
    mState->counters.mismatchedAnswers.Increment();
    aAnswer.status = PartStatus::Unknown;
    aAnswer.refusal = PartRefusal::ConnectionLost;
  }
  if (aAnswer.status == PartStatus::Answered) {
    TakeHits(attempt, std::move(aAnswer));
  } else {
    TakeFailure(attempt, aAnswer);
  }
  ResumeHeldShards();
}

void
QueryRun::ResumeHeldShards()
{
  if (IsHeldBack() && mGuardedRunning > 0) {
    return;
  }
  for (const std::uint32_t shard : std::exchange(mHeldShards, {})) {
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
QueryRun::TakeHits(const Attempt& aAttempt, PartAnswer aAnswer)
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
      // Another replica bore what the first one fell to, so the search is not to blame.
      mExposure.Clear();
    }
    if (aAttempt.kind == AttemptKind::Hedge) {
      mState->counters.hedgeWins.Increment();
    }
    CloseShard(aAttempt.shard);
    CancelAttempts(aAttempt.shard);
    return;
  }
  // The hits of a part of a shard count until a replica answers for all of it.
  if (aAnswer.hits.size() > shard.hits.size()) {
    shard.hits = std::move(aAnswer.hits);
  }
  if (!TryAgain(aAttempt, aAnswer) && shard.running == 0) {
    CloseShard(aAttempt.shard);
  }
}

void
QueryRun::TakeFailure(const Attempt& aAttempt, const PartAnswer& aAnswer)
{
  mFailures.Record(aAnswer.refusal);
  ShardProgress& shard = mShards[aAttempt.shard];
  shard.hasCrashed |= aAnswer.status == PartStatus::Crashed;
  shard.sawWrongSnapshot |= aAnswer.refusal == PartRefusal::WrongSnapshot;
  if (aAnswer.status == PartStatus::Quarantined) {
    mWasRefusedAsQuarantined = true;
    return;
  }
  if (!TryAgain(aAttempt, aAnswer) && shard.running == 0) {
    CloseShard(aAttempt.shard);
  }
}

bool
QueryRun::TryAgain(const Attempt& aAttempt, const PartAnswer& aAnswer)
{
  ShardProgress& shard = mShards[aAttempt.shard];
  const bool mayRunTwice = mProfile.idempotent || aAnswer.status == PartStatus::NotRun;
  if (!mayRunTwice || !HasTimeForAttempt()) {
    return false;
  }
  // Another attempt of this shard is still running, and it may well answer.
  if (shard.running > 0) {
    return false;
  }
  if (aAnswer.refusal == PartRefusal::NotOwner) {
    AllowNewOwner(aAttempt);
  }
  if (Candidate(aAttempt.shard, AttemptKind::Retry) == nullptr) {
    return false;
  }
  if (!TakeRetry(shard, aAnswer)) {
    return false;
  }
  if (IsHeldBack() && mGuardedRunning > 0) {
    mHeldShards.push_back(aAttempt.shard);
    return true;
  }
  return SendTo(aAttempt.shard, AttemptKind::Retry);
}

bool
QueryRun::TakeRetry(ShardProgress& aShard, const PartAnswer& aAnswer)
{
  if (IsStaleRoute(aAnswer)) {
    mState->counters.reroutes.Increment();
    return ++aShard.reroutes <= kMostReroutes;
  }
  if (mProfile.retryBudget <= 0.0 || !Budgets().retries.Take()) {
    return false;
  }
  mState->counters.retries.Increment();
  return true;
}

void
QueryRun::AllowNewOwner(const Attempt& aAttempt)
{
  RefreshView();
  for (const ReplicaView& replica : mView->replicas) {
    if (replica.replica == aAttempt.replica && replica.owner != aAttempt.owner) {
      mShards[aAttempt.shard].tried.erase(replica.replica);
    }
  }
}

void
QueryRun::NoteEvidence(const Attempt& aAttempt, const PartAnswer& aAnswer)
{
  mExposure.Learn(aAnswer.crashedReplicas);
  mExposure.RecordEnded(aAttempt.replica, aAnswer.status);
  if (mExposure.HasCrashed()) {
    mState->safeFingerprints.Remove(mFingerprint);
  }
}

void
QueryRun::CancelAttempts(std::optional<std::uint32_t> aShard)
{
  std::vector<std::pair<std::string, std::string>> given;
  const core::TimePoint now = mState->timers.Now();
  for (auto it = mAttempts.begin(); it != mAttempts.end();) {
    const Attempt& attempt = it->second;
    if (aShard && attempt.shard != *aShard) {
      ++it;
      continue;
    }
    // A part given up counts with the time it had taken, or the quantiles would miss stragglers.
    if (attempt.kind != AttemptKind::Hedge) {
      mState->latency.Record(mRequest.index, attempt.shard, now - attempt.sentAt);
    }
    mMayHaveRun = true;
    --mShards[attempt.shard].running;
    mGuardedRunning -= attempt.isGuarded ? 1 : 0;
    given.emplace_back(attempt.replica, it->first);
    it = mAttempts.erase(it);
  }
  for (const auto& [replica, partId] : given) {
    mState->counters.cancelled.Increment();
    mState->hooks.cancelPart(replica, partId);
  }
}

void
QueryRun::SendDueHedges()
{
  if (AreHedgesHeld()) {
    return;
  }
  const core::TimePoint now = mState->timers.Now();
  while (!mHedgeQueue.empty() && mHedgeQueue.top().first <= now) {
    const std::uint32_t n = mHedgeQueue.top().second;
    mHedgeQueue.pop();
    if (n >= mShards.size() || !MayHedge(mShards[n])) {
      continue;
    }
    if (IsHeldBack() || Candidate(n, AttemptKind::Hedge) == nullptr || !Budgets().hedges.Take()) {
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
  const bool isWaiting = aShard.isOpen && aShard.running > 0 && aShard.hedges < kMostHedges;
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
  const double affordable = 1.0 - kPlannedBudgetShare * mProfile.hedgeBudget;
  const double quantile = std::max(mProfile.hedgeQuantile, affordable);
  const auto delay = mState->latency.Quantile(mRequest.index, aShard, quantile);
  if (!delay) {
    return mState->settings.firstHedgeDelay;
  }
  // A window that remembers a cold start must not put hedges off until it has passed.
  const core::Duration cap = mState->latency.Median(mRequest.index) * kMostMedians;
  const core::Duration bounded = std::min(*delay, cap);
  return bounded + bounded / kHedgeMarginDivisor;
}

bool
QueryRun::AreHedgesHeld() const
{
  return mExposure.HasCrashed() && mGuardedRunning > 0;
}

core::TimePoint
QueryRun::WakeTime() const
{
  if (mHedgeQueue.empty() || AreHedgesHeld()) {
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
  const auto isDead = [](const ShardProgress& aShard) {
    return aShard.IsLost() && aShard.sawWrongSnapshot;
  };
  if (IsQuarantined() || mRestarts >= kMostRestarts || !HasTimeForAttempt()) {
    return false;
  }
  if (std::none_of(mShards.begin(), mShards.end(), isDead)) {
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
  std::set<std::uint64_t> excluded = mDeadSnapshots;
  excluded.insert(mSnapshot.snapshot);
  const std::optional<SnapshotChoice> other = ChooseSnapshot(*view, excluded);
  const auto lost = std::count_if(
    mShards.begin(), mShards.end(), [](const ShardProgress& aShard) { return aShard.IsLost(); });
  const double reachable = 1.0 - static_cast<double>(lost) / static_cast<double>(mShards.size());
  return other && other->Share() > reachable;
}

void
QueryRun::Restart()
{
  ++mRestarts;
  mState->counters.restarts.Increment();
  CancelAttempts(std::nullopt);
  QueryResult result = Conclude();
  const bool isBetter =
    !mEarlierAnswer || ShareOf(result.coverage) > ShareOf(mEarlierAnswer->coverage);
  if (result.status == QueryStatus::Answered && isBetter) {
    mEarlierAnswer = std::move(result);
  }
  mDeadSnapshots.insert(mSnapshot.snapshot);
  mHedgeQueue = {};
  mHeldShards.clear();
  mOpenShards = 0;
  mIsVersionFailing = false;
}

QueryResult
QueryRun::Refuse(QueryRefusal aRefusal) const
{
  QueryResult result;
  result.status = QueryStatus::Refused;
  result.refusal = aRefusal;
  // A quarantined query ran on the replicas that it crashed, if perhaps for another request.
  const bool mayHaveRun = mMayHaveRun || aRefusal == QueryRefusal::Quarantined;
  result.executed = mayHaveRun ? Executed::Unknown : Executed::No;
  result.retryAfter = RetryAfterOf(aRefusal, mState->random);
  return result;
}

QueryResult
QueryRun::Conclude()
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
    mEarlierAnswer && (!isEnough || ShareOf(mEarlierAnswer->coverage) > ShareOf(coverage));
  if (isEarlierBetter) {
    return *mEarlierAnswer;
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
  const bool wasNothingSent = !mMayHaveRun && mFailures.IsEmpty();
  return wasNothingSent && !HasTimeForAttempt() ? QueryRefusal::DeadlineTooClose
                                                : mFailures.Reason();
}

} // namespace skylarkwing::query
