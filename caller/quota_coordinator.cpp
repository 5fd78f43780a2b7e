#include "caller/quota_coordinator.h"

#include <algorithm>
#include <cmath>

namespace skylarkwing::caller {

namespace {

/**
 * Share of the tolerated requests that a bucket holds beyond the burst, and that a new bucket
 * starts with. Requests reach the daemons in another order than they were sent, and a new
 * coordinator doesn't know what the one before has granted.
 */
constexpr double kSlackShare = 0.25;

/**
 * Share of the tolerated requests that may be waived of a debt in one window. A debt comes from
 * demand that has risen before all daemons know; without a waiver it would be paid by requests that
 * the quota allows. The refill within the window doubles it.
 */
constexpr double kWaiverShare = 0.2;

/** A new coordinator has all requests ask for tokens until it knows the demand. */
constexpr core::Duration kLearningTime = std::chrono::milliseconds{ 1200 };

/** A daemon that hasn't reported for this long may use its own share of the rates. */
constexpr core::Duration kSilence = std::chrono::milliseconds{ 1500 };

/**
 * Time for which a daemon counts after it was last listed. The entry of one that is cut off from
 * the store expires, but callers go on using it for as long as they keep their lists.
 */
constexpr core::Duration kHoldTime = std::chrono::seconds{ 10 };

/** Without a report for this long another daemon has coordinated, so that all buckets start anew.
 */
constexpr core::Duration kUnusedTime = std::chrono::seconds{ 2 };

/**
 * Least share of the rates that the first coordinator grants while half of the fleet reports to it.
 * Daemons that were killed are listed until their leases end, and what they no longer use must not
 * be missing for long. A coordinator that the others have left grants its own share only.
 */
constexpr double kMinFirstShare = 0.65;
constexpr double kMinReporting = 0.5;

/** Time after its first report in which that least share doesn't apply: another one may grant
 * still. */
constexpr core::Duration kHandoverTime = std::chrono::seconds{ 2 };

/** Time over which the demand is measured. */
constexpr double kDemandSeconds = 1.0;

/** A customer is short when its tokens don't last for this long at its present demand. */
constexpr double kReserveSeconds = 0.75;

/** Bounds of that reserve, as shares of the bucket. */
constexpr double kMinReserveShare = 0.5;
constexpr double kMaxReserveShare = 0.75;

/** Hysteresis: the customer is no longer short with this many times the reserve. */
constexpr double kReserveFactor = 1.2;

/** Least rate for which a caller is told when to come back, in tokens per second. */
constexpr double kMinRate = 1e-3;

/** Latest time that a caller is told to come back. */
constexpr core::Duration kMaxPromise = std::chrono::seconds{ 10 };

double
ToSeconds(core::Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

core::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

double
QuotaCoordinator::SizeOf(const Account& aAccount, double aShare) const
{
  return std::max(1.0, (aAccount.burst + kSlackShare * mTolerance.slack) * aShare);
}

void
QuotaCoordinator::SetCustomers(const declaration::CustomerTable& aCustomers, core::TimePoint aNow)
{
  std::map<std::string, Account, std::less<>> accounts;
  const double share = GrantedShare(aNow);
  for (const auto& [name, customer] : aCustomers.Customers()) {
    if (customer.ratePerSecond <= 0.0) {
      continue;
    }
    const auto known = mAccounts.find(name);
    Account account;
    if (known != mAccounts.end()) {
      account = known->second;
      Charge(account, 0.0, share, aNow);
    } else {
      account = NewAccount(aNow);
    }
    account.rate = customer.ratePerSecond;
    account.burst = customer.burst;
    accounts.emplace(name, account);
  }
  mAccounts = std::move(accounts);
}

void
QuotaCoordinator::SetFleet(const std::map<std::string, double>& aWeights,
                           bool aIsFirst,
                           core::TimePoint aNow)
{
  const double share = GrantedShare(aNow);
  for (auto& [name, account] : mAccounts) {
    Charge(account, 0.0, share, aNow);
  }
  for (auto& [vm, member] : mMembers) {
    if (aWeights.count(vm) == 0 && !member.missingSince) {
      member.missingSince = aNow;
    }
  }
  for (const auto& [vm, weight] : aWeights) {
    mMembers[vm] = { weight, std::nullopt };
  }
  std::erase_if(mMembers, [aNow](const auto& aEntry) {
    return aEntry.second.missingSince && aNow - *aEntry.second.missingSince > kHoldTime;
  });
  mIsFirst = aIsFirst;
}

double
QuotaCoordinator::GrantedShare(core::TimePoint aNow) const
{
  double total = 0.0;
  double reporting = 0.0;
  for (const auto& [vm, member] : mMembers) {
    if (member.missingSince && aNow - *member.missingSince > kHoldTime) {
      continue;
    }
    total += member.weight;
    const auto it = mReportedAt.find(vm);
    if (it != mReportedAt.end() && aNow - it->second <= kSilence) {
      reporting += member.weight;
    }
  }
  if (total <= 0.0) {
    return 1.0;
  }
  const bool isSettled = mIsFirst && aNow - mBeganAt > kHandoverTime;
  const double share = reporting / total;
  return isSettled && share >= kMinReporting ? std::max(kMinFirstShare, share) : share;
}

void
QuotaCoordinator::RestartIfUnused(core::TimePoint aNow)
{
  if (aNow - mLastReportAt > kUnusedTime) {
    mReportedAt.clear();
    for (auto& [name, account] : mAccounts) {
      const Account fresh = NewAccount(aNow);
      account.bucket = fresh.bucket;
      account.waiver = fresh.waiver;
      account.promisedUntil = aNow;
    }
    mBeganAt = aNow;
  }
  mLastReportAt = aNow;
}

QuotaCoordinator::Account
QuotaCoordinator::NewAccount(core::TimePoint aNow) const
{
  Account account;
  account.bucket = upstream::TokenBucket(kSlackShare * mTolerance.slack, aNow);
  account.waiver = upstream::TokenBucket(0.0, aNow);
  return account;
}

void
QuotaCoordinator::WaiveDebt(Account& aAccount, double aShare, core::TimePoint aNow) const
{
  const double debt = -TokensOf(aAccount, aShare, aNow);
  if (debt <= 0.0) {
    return;
  }
  const double window = ToSeconds(mTolerance.window);
  const double allowed = (aAccount.rate * window + aAccount.burst) * mTolerance.overrun;
  const double size = kWaiverShare * (allowed + mTolerance.slack) * aShare;
  const double rate = size / window;
  const double waived = std::min(debt, aAccount.waiver.Tokens(rate, size, aNow));
  aAccount.waiver.Charge(waived, rate, size, aNow);
  Charge(aAccount, -waived, aShare, aNow);
}

void
QuotaCoordinator::Charge(Account& aAccount,
                         double aTokens,
                         double aShare,
                         core::TimePoint aNow) const
{
  aAccount.bucket.Charge(aTokens, aAccount.rate * aShare, SizeOf(aAccount, aShare), aNow);
}

double
QuotaCoordinator::TokensOf(const Account& aAccount, double aShare, core::TimePoint aNow) const
{
  return aAccount.bucket.Tokens(aAccount.rate * aShare, SizeOf(aAccount, aShare), aNow);
}

void
QuotaCoordinator::RecordDemand(Account& aAccount, double aRequests, core::TimePoint aNow) const
{
  const double seconds = std::max(0.0, ToSeconds(aNow - aAccount.demandAt));
  aAccount.demand *= std::exp(-seconds / kDemandSeconds);
  aAccount.demand += std::max(0.0, aRequests) / kDemandSeconds;
  aAccount.demandAt = aNow;
}

void
QuotaCoordinator::ReviewShortage(Account& aAccount, double aShare, core::TimePoint aNow) const
{
  const double size = SizeOf(aAccount, aShare);
  const double reserve =
    std::clamp(aAccount.demand * kReserveSeconds, kMinReserveShare * size, kMaxReserveShare * size);
  aAccount.isShort =
    aNow - mBeganAt < kLearningTime ||

    TokensOf(aAccount, aShare, aNow) < reserve * (aAccount.isShort ? kReserveFactor : 1.0);
}

core::Duration
QuotaCoordinator::PromiseToken(Account& aAccount, double aShare, core::TimePoint aNow) const
{
  // Each refused caller is promised a later token, so that they don't all return for the same one.
  const double rate = std::max(aAccount.rate * aShare, kMinRate);
  const core::TimePoint first =
    aNow + aAccount.bucket.TimeUntil(1.0, rate, SizeOf(aAccount, aShare), aNow);
  const core::TimePoint next = aAccount.promisedUntil + FromSeconds(1.0 / rate);
  aAccount.promisedUntil = std::min(std::max(first, next), aNow + kMaxPromise);
  return aAccount.promisedUntil - aNow;
}

QuotaReply
QuotaCoordinator::Handle(const QuotaReport& aReport, core::TimePoint aNow)
{
  RestartIfUnused(aNow);
  if (aReport.isLast) {
    mReportedAt.erase(aReport.vm);
  } else {
    mReportedAt[aReport.vm] = aNow;
  }
  const double share = GrantedShare(aNow);
  QuotaReply reply;
  for (const auto& [name, count] : aReport.used) {
    const auto it = mAccounts.find(name);
    if (it != mAccounts.end()) {
      Charge(it->second, static_cast<double>(count), share, aNow);
      WaiveDebt(it->second, share, aNow);
      RecordDemand(it->second, static_cast<double>(count), aNow);
    }
  }
  for (const auto& [name, count] : aReport.asked) {
    const auto it = mAccounts.find(name);
    if (it == mAccounts.end()) {
      // Without a limit here. A daemon with a newer configuration applies the limit that it knows.
      reply.granted[name] = count;
      continue;
    }
    Account& account = it->second;
    RecordDemand(account, count, aNow);
    const double available = std::floor(std::max(0.0, TokensOf(account, share, aNow)));
    const auto granted = static_cast<std::uint32_t>(std::min<double>(count, available));
    Charge(account, granted, share, aNow);
    reply.granted[name] = granted;
    if (granted < count) {
      reply.nextToken[name] = PromiseToken(account, share, aNow);
    }
  }
  for (auto& [name, account] : mAccounts) {
    const bool wasShort = account.isShort;
    ReviewShortage(account, share, aNow);
    // At first all customers count as short, which says nothing about them.
    if (account.isShort != wasShort && aNow - mBeganAt >= 2 * kLearningTime) {
      mOnShortageChange({ name, account.isShort, TokensOf(account, share, aNow), account.demand });
    }
    if (account.isShort) {
      reply.shortCustomers.insert(name);
    }
  }
  return reply;
}

} // namespace skylarkwing::caller
