#include "store/warmup_permits.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLeaseTimeToLive{ 15 };
/** Subtracted from a lease for the time between check and send, and for clock drift. */
constexpr seconds kLeaseMargin{ 1 };
constexpr seconds kLeaseRenewInterval{ 5 };
/** A lease with less time left is replaced before a new permit is claimed under it. */
constexpr seconds kMinLeaseTime{ 3 };
constexpr seconds kPromiseRenewBefore{ 3 };
constexpr seconds kCallTimeout{ 2 };
constexpr seconds kMaintenanceInterval{ 1 };
constexpr seconds kRetryDelay{ 1 };
constexpr seconds kUnclaimedTime{ 10 };
constexpr double kJitterShare = 0.3;
/** A new process doesn't know the promises of its predecessor, which last shorter than this. */
constexpr seconds kPromiseSettleTime{ 6 };
/** Limits promised permits, since the renewal of each costs a message to every member. */
constexpr std::size_t kPromiseMessagesPerRound = 64;
/** The first claim, one that replaces an earlier holder, and one after a lost answer. */
constexpr int kMaxClaims = 3;

std::string
PermitKey(const std::string& aReplica)
{
  return kPermitPrefix + aReplica;
}

std::string
HolderKey(const std::string& aReplica)
{
  return kPermitHolderPrefix + aReplica;
}

const KeyValue*
Find(const std::vector<KeyValue>& aValues, const std::string& aKey)
{
  const auto it = std::find_if(
    aValues.begin(), aValues.end(), [&aKey](const KeyValue& aValue) { return aValue.key == aKey; });
  return it == aValues.end() ? nullptr : &*it;
}

prometheus::Counter&
AttemptCounter(core::Metrics& aMetrics, const std::string& aOutcome)
{
  return aMetrics.Counter("skylarkwing_store_permit_attempts_total",
                          "Attempts to get a warm-up permit, by outcome.",
                          { { "outcome", aOutcome } });
}

} // namespace

WarmupPermits::WarmupPermits(boost::asio::any_io_executor aExecutor,
                             core::TimerService& aTimers,
                             core::RandomSource& aRandom,
                             core::Metrics& aMetrics,
                             StoreClient& aClient,
                             std::string aHolder,
                             WarmupPermitHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mClient(aClient)
  , mHolder(std::move(aHolder))
  , mHooks(std::move(aHooks))
  , mStartedAt(aTimers.Now())
  , mGranted(AttemptCounter(aMetrics, "granted"))
  , mDenied(AttemptCounter(aMetrics, "denied"))
  , mStoreUnavailable(AttemptCounter(aMetrics, "store_out"))
  , mLapsed(aMetrics.Counter("skylarkwing_store_permits_lapsed_total",
                             "Warm-up permits that ended without being given back."))
  , mHeldGauge(
      aMetrics.Gauge("skylarkwing_store_permits_held", "Warm-up permits that are held here."))
{
}

core::Task<bool>
WarmupPermits::Acquire(std::string aReplica)
{
  RemoveLapsed();
  if (mPermits.count(aReplica) != 0) {
    co_return TryUse(aReplica);
  }
  if (!MayAttempt(aReplica)) {
    co_return false;
  }
  mAcquiring.insert(aReplica);
  Attempt attempt = co_await ClaimInStore(aReplica);
  if (attempt == Attempt::StoreUnavailable) {
    mStoreUnavailable.Increment();
    attempt = co_await ClaimByPromises(aReplica);
  }
  mAcquiring.erase(aReplica);
  if (attempt != Attempt::Granted) {
    mDenied.Increment();
    const double pause =
      mRandom.Jitter(static_cast<double>(core::Duration(kRetryDelay).count()), kJitterShare);
    mNextAttemptAt[aReplica] =
      mTimers.Now() + core::Duration{ static_cast<core::Duration::rep>(pause) };
    co_return false;
  }
  mGranted.Increment();
  mNextAttemptAt.erase(aReplica);
  StartMaintenance();
  co_return TryUse(aReplica);
}

bool
WarmupPermits::IsHeld(const std::string& aReplica) const
{
  const auto it = mPermits.find(aReplica);
  // A permit that Acquire() has not granted yet may be returned, so that it must not be used.
  return it != mPermits.end() && it->second.isHandedOut && IsUsable(aReplica, it->second);
}

bool
WarmupPermits::MayHold(const std::string& aReplica) const
{
  const auto it = mPermits.find(aReplica);
  const bool isHeld = it != mPermits.end() && IsValid(it->second);
  return isHeld || mAcquiring.count(aReplica) != 0;
}

void
WarmupPermits::Release(const std::string& aReplica)
{
  // A lapsed permit can't be returned: a successor may already be waiting for its work to end.
  RemoveLapsed();
  const auto it = mPermits.find(aReplica);
  if (it == mPermits.end()) {
    return;
  }
  const Permit permit = it->second;
  mPermits.erase(it);
  mHeldGauge.Set(static_cast<double>(mPermits.size()));
  if (permit.lease == 0) {
    if (mHooks.releasePromises) {
      mHooks.releasePromises(aReplica);
    }
    return;
  }
  QueueReturn(aReplica, permit.revision, mTimers.Now() >= permit.usableFrom);
}

bool
WarmupPermits::IsValid(const Permit& aPermit) const
{
  const core::TimePoint now = mTimers.Now();
  if (aPermit.lease == 0) {
    return now < aPermit.promisedUntil;
  }
  return aPermit.lease == mLease && now < mLeaseValidUntil;
}

bool
WarmupPermits::IsUsable(const std::string& aReplica, const Permit& aPermit) const
{
  const bool hasWaited = mTimers.Now() >= aPermit.usableFrom;
  return hasWaited && IsValid(aPermit) && !IsPromisedElsewhere(aReplica);
}

bool
WarmupPermits::IsPromisedElsewhere(const std::string& aReplica) const
{
  const auto until = PromisedElsewhereUntil(aReplica);
  return until && mTimers.Now() < *until;
}

std::optional<core::TimePoint>
WarmupPermits::PromisedElsewhereUntil(const std::string& aReplica) const
{
  if (!mHooks.promisedElsewhereUntil) {
    return std::nullopt;
  }
  return mHooks.promisedElsewhereUntil(aReplica);
}

bool
WarmupPermits::MayAttempt(const std::string& aReplica) const
{
  const core::TimePoint now = mTimers.Now();
  const auto next = mNextAttemptAt.find(aReplica);
  const bool isTooEarly = next != mNextAttemptAt.end() && now < next->second;
  const bool isBusy = mAcquiring.count(aReplica) != 0 || mReturns.count(aReplica) != 0;
  return !isTooEarly && !isBusy && !IsPromisedElsewhere(aReplica);
}

bool
WarmupPermits::TryUse(const std::string& aReplica)
{
  const auto it = mPermits.find(aReplica);
  if (it == mPermits.end()) {
    return false;
  }
  it->second.lastAskedAt = mTimers.Now();
  it->second.isHandedOut = it->second.isHandedOut || IsUsable(aReplica, it->second);
  return IsHeld(aReplica);
}

core::TimePoint
WarmupPermits::EndOfEarlierWork(const std::string& aReplica, bool aMustWait) const
{
  const core::TimePoint now = mTimers.Now();
  const core::Duration longest = mHooks.maxRequestDeadline();
  core::TimePoint end = aMustWait ? now + longest : now;
  if (const auto promised = PromisedElsewhereUntil(aReplica)) {
    end = std::max(end, *promised + longest);
  }
  // The previous process of this daemon may have made a promise that ended just now.
  if (!mHooks.mayPromisesBeOutstanding || mHooks.mayPromisesBeOutstanding()) {
    end = std::max(end, mStartedAt + kPromiseSettleTime + longest);
  }
  return end;
}

core::Task<WarmupPermits::Attempt>
WarmupPermits::ClaimInStore(std::string aReplica)
{
  Claim claim;
  const StoreError leaseError = co_await EnsureLease();
  if (leaseError != StoreError::None) {
    co_return leaseError == StoreError::RateLimited ? Attempt::Denied : Attempt::StoreUnavailable;
  }
  claim.lease = mLease;
  for (int n = 0; n < kMaxClaims && !claim.isDenied; ++n) {
    Transaction transaction = MakeClaimTransaction(aReplica, claim);
    const TransactionResult result =
      co_await mClient.RunTransaction(std::move(transaction), kCallTimeout);
    if (result.error == StoreError::Refused || result.error == StoreError::RateLimited) {
      // The store refuses to write under a lease that has ended.
      mLeaseValidUntil = result.error == StoreError::Refused ? mTimers.Now() : mLeaseValidUntil;
      co_return Attempt::Denied;
    }
    if (result.error == StoreError::Unavailable) {
      co_return Attempt::StoreUnavailable;
    }
    if (result.error != StoreError::None) {
      // If the claim took effect, its repetition finds the permit as held by this process.
      claim.mustWait = true;
      continue;
    }
    const std::optional<Revision> revision = ProcessClaimResult(aReplica, result, claim);
    if (revision) {
      co_return Grant(aReplica, claim, *revision);
    }
  }
  if (claim.isDenied) {
    co_return Attempt::Denied;
  }
  // An unconfirmed claim may have taken effect; it must not block other daemons.
  QueueReturn(aReplica, 0, false);
  co_return Attempt::StoreUnavailable;
}

Transaction
WarmupPermits::MakeClaimTransaction(const std::string& aReplica, const Claim& aClaim) const
{
  const std::string permit = PermitKey(aReplica);
  const std::string holder = HolderKey(aReplica);
  Transaction transaction;
  transaction.conditions.push_back({ permit, CompareTarget::CreateRevision, 0 });
  transaction.conditions.push_back({ holder, CompareTarget::ModRevision, aClaim.holderRevision });
  transaction.puts.push_back({ permit, mHolder, aClaim.lease });
  transaction.puts.push_back({ holder, mHolder, 0 });
  transaction.readsOnFailure = { permit, holder };
  return transaction;
}

std::optional<Revision>
WarmupPermits::ProcessClaimResult(const std::string& aReplica,
                                  const TransactionResult& aResult,
                                  Claim& aClaim) const
{
  if (aResult.hasSucceeded) {
    return aResult.revision;
  }
  const KeyValue* permit = Find(aResult.values, PermitKey(aReplica));
  if (permit != nullptr) {
    const bool isOwn = permit->value == mHolder && permit->lease == aClaim.lease;
    aClaim.mustWait = true;
    aClaim.isDenied = !isOwn;
    return isOwn ? std::optional<Revision>(permit->modRevision) : std::nullopt;
  }
  // The permit is gone but not the holder's key: the lease ended before the permit was returned.
  const KeyValue* holder = Find(aResult.values, HolderKey(aReplica));
  aClaim.holderRevision = holder == nullptr ? 0 : holder->modRevision;
  aClaim.mustWait = aClaim.mustWait || holder != nullptr;
  return std::nullopt;
}

WarmupPermits::Attempt
WarmupPermits::Grant(const std::string& aReplica, const Claim& aClaim, Revision aRevision)
{
  const core::TimePoint now = mTimers.Now();
  const bool isLapsed = aClaim.lease != mLease || now >= mLeaseValidUntil;
  // The replica may have been promised to another daemon during the claim.
  if (isLapsed || IsPromisedElsewhere(aReplica)) {
    QueueReturn(aReplica, aRevision, !aClaim.mustWait);
    return Attempt::Denied;
  }
  Permit& permit = mPermits[aReplica];
  permit.lease = aClaim.lease;
  permit.revision = aRevision;
  permit.lastAskedAt = now;
  permit.usableFrom = EndOfEarlierWork(aReplica, aClaim.mustWait);
  mHeldGauge.Set(static_cast<double>(mPermits.size()));
  return Attempt::Granted;
}

core::Task<WarmupPermits::Attempt>
WarmupPermits::ClaimByPromises(std::string aReplica)
{
  const std::size_t maxPermits = std::max<std::size_t>(
    1, kPromiseMessagesPerRound / std::max<std::size_t>(1, mHooks.memberCount()));
  if (!mHooks.requestPromises || CountPromisedPermits() >= maxPermits) {
    co_return Attempt::Denied;
  }
  const std::optional<core::TimePoint> until = co_await mHooks.requestPromises(aReplica);
  if (!until) {
    co_return Attempt::Denied;
  }
  Permit& permit = mPermits[aReplica];
  permit = Permit{};
  permit.promisedUntil = *until;
  permit.lastAskedAt = mTimers.Now();
  // Whether an earlier holder left work behind is unknown without the store.
  permit.usableFrom = EndOfEarlierWork(aReplica, true);
  mHeldGauge.Set(static_cast<double>(mPermits.size()));
  co_return Attempt::Granted;
}

bool
WarmupPermits::IsLeaseFresh() const
{
  return mLease != 0 && mTimers.Now() + kMinLeaseTime < mLeaseValidUntil;
}

core::Task<StoreError>
WarmupPermits::EnsureLease()
{
  if (IsLeaseFresh()) {
    co_return StoreError::None;
  }
  if (mIsGranting) {
    std::function<void(std::function<void()>)> start = [this](std::function<void()> aWake) {
      mLeaseWaiters.push_back(std::move(aWake));
    };
    co_await core::AwaitCallback(std::move(start));
    co_return IsLeaseFresh() ? StoreError::None : StoreError::Unavailable;
  }
  mIsGranting = true;
  const StoreError error = co_await GrantLease();
  mIsGranting = false;
  const auto waiters = std::exchange(mLeaseWaiters, {});
  for (const auto& wake : waiters) {
    wake();
  }
  co_return error;
}

core::Task<StoreError>
WarmupPermits::GrantLease()
{
  const core::TimePoint requestedAt = mTimers.Now();
  const LeaseResult result = co_await mClient.GrantLease(kLeaseTimeToLive, kCallTimeout);
  if (result.error == StoreError::None) {
    RemoveLapsed();
    mLease = result.lease;
    mLeaseRenewedAt = requestedAt;
    mLeaseValidUntil = requestedAt + result.timeToLive - kLeaseMargin;
  }
  co_return result.error;
}

void
WarmupPermits::StartMaintenance()
{
  if (mIsMaintenanceRunning) {
    return;
  }
  mIsMaintenanceRunning = true;
  core::Start(mExecutor, RunMaintenance());
}

core::Task<void>
WarmupPermits::RunMaintenance()
{
  while (!mPermits.empty() || !mReturns.empty()) {
    co_await core::Sleep(mTimers, kMaintenanceInterval);
    RemoveLapsed();
    ReleaseUnclaimed();
    const bool isLeaseUsed = mPermits.size() > CountPromisedPermits();
    const bool isDue = mTimers.Now() - mLeaseRenewedAt >= kLeaseRenewInterval;
    if (isLeaseUsed && isDue && !mIsRenewing) {
      mIsRenewing = true;
      core::Start(mExecutor, RenewLease());
    }
    RenewDuePromises();
    StartReturns();
  }
  // Without permits the lease is no longer renewed and expires.
  mIsMaintenanceRunning = false;
}

void
WarmupPermits::RenewDuePromises()
{
  std::vector<std::string> due;
  for (auto& [replica, permit] : mPermits) {
    const bool isDue = permit.lease == 0 && !permit.isRenewing &&
                       permit.promisedUntil - mTimers.Now() < kPromiseRenewBefore;
    if (isDue) {
      permit.isRenewing = true;
      due.push_back(replica);
    }
  }
  for (std::string& replica : due) {
    core::Start(mExecutor, RenewPromises(std::move(replica)));
  }
}

core::Task<void>
WarmupPermits::RenewLease()
{
  const LeaseId lease = mLease;
  const core::TimePoint requestedAt = mTimers.Now();
  const LeaseResult result = co_await mClient.KeepLeaseAlive(lease, kCallTimeout);
  mIsRenewing = false;
  if (result.error != StoreError::None || lease != mLease) {
    co_return;
  }
  if (result.timeToLive <= seconds::zero()) {
    mLeaseValidUntil = mTimers.Now();
    RemoveLapsed();
    co_return;
  }
  mLeaseRenewedAt = requestedAt;
  mLeaseValidUntil = std::max(mLeaseValidUntil, requestedAt + result.timeToLive - kLeaseMargin);
}

core::Task<void>
WarmupPermits::RenewPromises(std::string aReplica)
{
  const std::optional<core::TimePoint> until = co_await mHooks.requestPromises(aReplica);
  const auto it = mPermits.find(aReplica);
  if (it == mPermits.end()) {
    mHooks.releasePromises(aReplica);
    co_return;
  }
  it->second.isRenewing = false;
  if (until) {
    it->second.promisedUntil = std::max(it->second.promisedUntil, *until);
  }
}

void
WarmupPermits::QueueReturn(const std::string& aReplica, Revision aRevision, bool aIsClean)
{
  mReturns[aReplica] = { aRevision, aIsClean, false };
  StartReturns();
  StartMaintenance();
}

void
WarmupPermits::StartReturns()
{
  // With the end of the lease the store deletes the permits by itself.
  if (mTimers.Now() >= mLeaseValidUntil + kLeaseMargin) {
    mReturns.clear();
  }
  std::vector<std::string> due;
  for (auto& [replica, entry] : mReturns) {
    if (!entry.isInProgress) {
      entry.isInProgress = true;
      due.push_back(replica);
    }
  }
  for (std::string& replica : due) {
    core::Start(mExecutor, RunReturn(std::move(replica)));
  }
}

core::Task<void>
WarmupPermits::RunReturn(std::string aReplica)
{
  const PendingReturn entry = mReturns[aReplica];
  const bool isDone = co_await SendReturn(aReplica, entry);
  const auto it = mReturns.find(aReplica);
  if (it == mReturns.end()) {
    co_return;
  }
  it->second.isInProgress = false;
  if (isDone) {
    mReturns.erase(it);
  }
}

core::Task<bool>
WarmupPermits::SendReturn(std::string aReplica, PendingReturn aReturn)
{
  if (aReturn.revision == 0) {
    RangeRequest request;
    request.key = PermitKey(aReplica);
    const RangeResult found = co_await mClient.Range(std::move(request), kCallTimeout);
    const bool isOwn = !found.values.empty() && found.values.front().value == mHolder;
    if (found.error != StoreError::None || !isOwn) {
      co_return found.error == StoreError::None;
    }
    aReturn.revision = found.values.front().modRevision;
  }
  Transaction transaction;
  transaction.conditions.push_back(
    { PermitKey(aReplica), CompareTarget::ModRevision, aReturn.revision });
  transaction.deletes.push_back(PermitKey(aReplica));
  if (aReturn.isClean) {
    transaction.deletes.push_back(HolderKey(aReplica));
  }
  const TransactionResult result =
    co_await mClient.RunTransaction(std::move(transaction), kCallTimeout);
  co_return result.error == StoreError::None;
}

void
WarmupPermits::RemoveLapsed()
{
  const std::size_t lapsed =
    std::erase_if(mPermits, [this](const auto& aEntry) { return !IsValid(aEntry.second); });
  if (lapsed == 0) {
    return;
  }
  mLapsed.Increment(static_cast<double>(lapsed));
  mHeldGauge.Set(static_cast<double>(mPermits.size()));
  core::LogEvent(core::LogLevel::Warning,
                 "store",
                 "warmup_permits_lapsed",
                 { { "permits", std::to_string(lapsed) } });
}

void
WarmupPermits::ReleaseUnclaimed()
{
  std::vector<std::string> unclaimed;
  for (const auto& [replica, permit] : mPermits) {
    if (!permit.isHandedOut && mTimers.Now() - permit.lastAskedAt >= kUnclaimedTime) {
      unclaimed.push_back(replica);
    }
  }
  for (const std::string& replica : unclaimed) {
    Release(replica);
  }
}

std::size_t
WarmupPermits::CountPromisedPermits() const
{
  return static_cast<std::size_t>(std::count_if(
    mPermits.begin(), mPermits.end(), [](const auto& aEntry) { return aEntry.second.lease == 0; }));
}

} // namespace skylarkwing::store
