#include "store/warmup_permits.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLeaseTimeToLive{ 15 };
/** Taken off a lease for the time between a check and the send, and for clocks that run apart. */
constexpr seconds kLeaseMargin{ 1 };
constexpr seconds kLeaseRenewInterval{ 5 };
/** A lease with less time left is replaced before a new permit rests on it. */
constexpr seconds kLeastLeaseTime{ 3 };
constexpr seconds kPromiseRenewBefore{ 3 };
constexpr seconds kCallLimit{ 2 };
constexpr seconds kTendInterval{ 1 };
constexpr seconds kRetryPause{ 1 };
constexpr seconds kUnwantedTime{ 10 };
constexpr double kJitterShare = 0.3;
/** A new process does not know what the one before it promised; promises are shorter than this. */
constexpr seconds kSettleTime{ 6 };
/** Promises cost a message to each member at each renewal, so a large fleet warms up by fewer. */
constexpr std::size_t kPromiseMessagesPerRound = 64;
/** The first claim, one on top of an earlier holder's, and one after a lost answer. */
constexpr int kMostClaims = 3;

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
  , mStoreOut(AttemptCounter(aMetrics, "store_out"))
  , mLapsed(aMetrics.Counter("skylarkwing_store_permits_lapsed_total",
                             "Warm-up permits that ended without being given back."))
  , mHeldGauge(
      aMetrics.Gauge("skylarkwing_store_permits_held", "Warm-up permits that are held here."))
{
}

core::Task<bool>
WarmupPermits::Acquire(std::string aReplica)
{
  DropLapsed();
  if (mPermits.count(aReplica) != 0) {
    co_return Take(aReplica);
  }
  if (!MayTry(aReplica)) {
    co_return false;
  }
  mUnderWay.insert(aReplica);
  Attempt attempt = co_await TryStore(aReplica);
  if (attempt == Attempt::StoreOut) {
    mStoreOut.Increment();
    attempt = co_await TryPromises(aReplica);
  }
  mUnderWay.erase(aReplica);
  if (attempt != Attempt::Granted) {
    mDenied.Increment();
    const double pause =
      mRandom.Around(static_cast<double>(core::Duration(kRetryPause).count()), kJitterShare);
    mNextTry[aReplica] = mTimers.Now() + core::Duration{ static_cast<core::Duration::rep>(pause) };
    co_return false;
  }
  mGranted.Increment();
  mNextTry.erase(aReplica);
  Tend();
  co_return Take(aReplica);
}

bool
WarmupPermits::IsHeld(const std::string& aReplica) const
{
  const auto it = mPermits.find(aReplica);
  // A permit that nobody has come for is given back, so nothing may rest on it.
  return it != mPermits.end() && it->second.isTaken && IsUsable(aReplica, it->second);
}

bool
WarmupPermits::MayHold(const std::string& aReplica) const
{
  const auto it = mPermits.find(aReplica);
  const bool isHeld = it != mPermits.end() && IsValid(it->second);
  return isHeld || mUnderWay.count(aReplica) != 0;
}

void
WarmupPermits::Release(const std::string& aReplica)
{
  // A permit that has lapsed can't be given back: its successor may be waiting out its work.
  DropLapsed();
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
  GiveBack(aReplica, permit.revision, mTimers.Now() >= permit.usableFrom);
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
  const auto until = LastPromiseElsewhere(aReplica);
  return until && mTimers.Now() < *until;
}

std::optional<core::TimePoint>
WarmupPermits::LastPromiseElsewhere(const std::string& aReplica) const
{
  if (!mHooks.promisedElsewhereUntil) {
    return std::nullopt;
  }
  return mHooks.promisedElsewhereUntil(aReplica);
}

bool
WarmupPermits::MayTry(const std::string& aReplica) const
{
  const core::TimePoint now = mTimers.Now();
  const auto next = mNextTry.find(aReplica);
  const bool isTooEarly = next != mNextTry.end() && now < next->second;
  const bool isBusy = mUnderWay.count(aReplica) != 0 || mReturns.count(aReplica) != 0;
  return !isTooEarly && !isBusy && !IsPromisedElsewhere(aReplica);
}

bool
WarmupPermits::Take(const std::string& aReplica)
{
  const auto it = mPermits.find(aReplica);
  if (it == mPermits.end()) {
    return false;
  }
  it->second.lastAskedAt = mTimers.Now();
  it->second.isTaken = it->second.isTaken || IsUsable(aReplica, it->second);
  return IsHeld(aReplica);
}

core::TimePoint
WarmupPermits::EndOfEarlierWork(const std::string& aReplica, bool aMustWait) const
{
  const core::TimePoint now = mTimers.Now();
  const core::Duration longest = mHooks.maxRequestDeadline();
  core::TimePoint end = aMustWait ? now + longest : now;
  if (const auto promised = LastPromiseElsewhere(aReplica)) {
    end = std::max(end, *promised + longest);
  }
  // The process before this one may have made a promise that ended just now.
  if (!mHooks.mayPromisesBeOutstanding || mHooks.mayPromisesBeOutstanding()) {
    end = std::max(end, mStartedAt + kSettleTime + longest);
  }
  return end;
}

core::Task<WarmupPermits::Attempt>
WarmupPermits::TryStore(std::string aReplica)
{
  Claim claim;
  const StoreError leaseError = co_await EnsureLease();
  if (leaseError != StoreError::None) {
    co_return leaseError == StoreError::RateLimited ? Attempt::Denied : Attempt::StoreOut;
  }
  claim.lease = mLease;
  for (int n = 0; n < kMostClaims && !claim.isDenied; ++n) {
    Transaction transaction = MakeClaim(aReplica, claim);
    const TransactionResult result =
      co_await mClient.RunTransaction(std::move(transaction), kCallLimit);
    if (result.error == StoreError::Refused || result.error == StoreError::RateLimited) {
      // The store refuses a write under a lease that it has ended.
      mLeaseValidUntil = result.error == StoreError::Refused ? mTimers.Now() : mLeaseValidUntil;
      co_return Attempt::Denied;
    }
    if (result.error == StoreError::Unavailable) {
      co_return Attempt::StoreOut;
    }
    if (result.error != StoreError::None) {
      // The same claim again finds the permit as its own if the first one took effect.
      claim.mustWait = true;
      continue;
    }
    const std::optional<Revision> revision = Examine(aReplica, result, claim);
    if (revision) {
      co_return Grant(aReplica, claim, *revision);
    }
  }
  if (claim.isDenied) {
    co_return Attempt::Denied;
  }
  // A claim may have taken effect unseen, and must not keep others away.
  GiveBack(aReplica, 0, false);
  co_return Attempt::StoreOut;
}

Transaction
WarmupPermits::MakeClaim(const std::string& aReplica, const Claim& aClaim) const
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
WarmupPermits::Examine(const std::string& aReplica,
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
  // The holder's lease has ended without the permit being given back.
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
  // While the claim was under way, the replica may have been promised to another.
  if (isLapsed || IsPromisedElsewhere(aReplica)) {
    GiveBack(aReplica, aRevision, !aClaim.mustWait);
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
WarmupPermits::TryPromises(std::string aReplica)
{
  const std::size_t most = std::max<std::size_t>(
    1, kPromiseMessagesPerRound / std::max<std::size_t>(1, mHooks.memberCount()));
  if (!mHooks.requestPromises || PromisedPermits() >= most) {
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
  // Nobody can tell whether a holder that is gone left work behind.
  permit.usableFrom = EndOfEarlierWork(aReplica, true);
  mHeldGauge.Set(static_cast<double>(mPermits.size()));
  co_return Attempt::Granted;
}

bool
WarmupPermits::IsLeaseFresh() const
{
  return mLease != 0 && mTimers.Now() + kLeastLeaseTime < mLeaseValidUntil;
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
  const core::TimePoint askedAt = mTimers.Now();
  const LeaseResult result = co_await mClient.GrantLease(kLeaseTimeToLive, kCallLimit);
  if (result.error == StoreError::None) {
    DropLapsed();
    mLease = result.lease;
    mLeaseRenewedAt = askedAt;
    mLeaseValidUntil = askedAt + result.timeToLive - kLeaseMargin;
  }
  co_return result.error;
}

void
WarmupPermits::Tend()
{
  if (mIsTending) {
    return;
  }
  mIsTending = true;
  core::Start(mExecutor, RunTend());
}

core::Task<void>
WarmupPermits::RunTend()
{
  while (!mPermits.empty() || !mReturns.empty()) {
    co_await core::Sleep(mTimers, kTendInterval);
    DropLapsed();
    DropUnwanted();
    const bool isLeaseUsed = mPermits.size() > PromisedPermits();
    const bool isDue = mTimers.Now() - mLeaseRenewedAt >= kLeaseRenewInterval;
    if (isLeaseUsed && isDue && !mIsRenewing) {
      mIsRenewing = true;
      core::Start(mExecutor, RenewLease());
    }
    RenewDuePromises();
    StartReturns();
  }
  // Without a permit the lease is left to lapse.
  mIsTending = false;
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
  const core::TimePoint askedAt = mTimers.Now();
  const LeaseResult result = co_await mClient.KeepLeaseAlive(lease, kCallLimit);
  mIsRenewing = false;
  if (result.error != StoreError::None || lease != mLease) {
    co_return;
  }
  if (result.timeToLive <= seconds::zero()) {
    mLeaseValidUntil = mTimers.Now();
    DropLapsed();
    co_return;
  }
  mLeaseRenewedAt = askedAt;
  mLeaseValidUntil = std::max(mLeaseValidUntil, askedAt + result.timeToLive - kLeaseMargin);
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
WarmupPermits::GiveBack(const std::string& aReplica, Revision aRevision, bool aIsClean)
{
  mReturns[aReplica] = { aRevision, aIsClean, false };
  StartReturns();
  Tend();
}

void
WarmupPermits::StartReturns()
{
  // Without the lease the permits are gone by themselves.
  if (mTimers.Now() >= mLeaseValidUntil + kLeaseMargin) {
    mReturns.clear();
  }
  std::vector<std::string> due;
  for (auto& [replica, entry] : mReturns) {
    if (!entry.isUnderWay) {
      entry.isUnderWay = true;
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
  const Return entry = mReturns[aReplica];
  const bool isDone = co_await SendReturn(aReplica, entry);
  const auto it = mReturns.find(aReplica);
  if (it == mReturns.end()) {
    co_return;
  }
  it->second.isUnderWay = false;
  if (isDone) {
    mReturns.erase(it);
  }
}

core::Task<bool>
WarmupPermits::SendReturn(std::string aReplica, Return aReturn)
{
  if (aReturn.revision == 0) {
    RangeRequest request;
    request.key = PermitKey(aReplica);
    const RangeResult found = co_await mClient.Range(std::move(request), kCallLimit);
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
    co_await mClient.RunTransaction(std::move(transaction), kCallLimit);
  co_return result.error == StoreError::None;
}

void
WarmupPermits::DropLapsed()
{
  const std::size_t lapsed =
    std::erase_if(mPermits, [this](const auto& aEntry) { return !IsValid(aEntry.second); });
  if (lapsed == 0) {
    return;
  }
  mLapsed.Increment(static_cast<double>(lapsed));
  mHeldGauge.Set(static_cast<double>(mPermits.size()));
  core::LogChange(core::LogLevel::Warning,
                  "store",
                  "warmup_permits_lapsed",
                  { { "permits", std::to_string(lapsed) } });
}

void
WarmupPermits::DropUnwanted()
{
  std::vector<std::string> unwanted;
  for (const auto& [replica, permit] : mPermits) {
    if (!permit.isTaken && mTimers.Now() - permit.lastAskedAt >= kUnwantedTime) {
      unwanted.push_back(replica);
    }
  }
  for (const std::string& replica : unwanted) {
    Release(replica);
  }
}

std::size_t
WarmupPermits::PromisedPermits() const
{
  return static_cast<std::size_t>(std::count_if(
    mPermits.begin(), mPermits.end(), [](const auto& aEntry) { return aEntry.second.lease == 0; }));
}

} // namespace skylarkwing::store
