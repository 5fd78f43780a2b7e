#pragma once

#include "caller/quota_messages.h"
#include "declaration/customer_table.h"
#include "upstream/token_bucket.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace skylarkwing::caller {

/** How closely the fleet keeps the customers' quotas. */
struct QuotaTolerance
{
  core::Duration window = std::chrono::seconds{ 5 };
  /** Share of a quota beyond it that is tolerated in one window. */
  double overrun = 0.1;
  /** Requests beyond that share that are tolerated in one window. */
  double slack = 20.0;
};

/** A customer that has run short of tokens, or is no longer short. */
struct QuotaShortage
{
  std::string customer;
  bool isShort = false;
  /** Negative when more requests were admitted than there were tokens. */
  double tokens = 0.0;
  /** Requests per second. */
  double demand = 0.0;
};

/**
 * The token buckets of all customers, kept by one daemon for the fleet.
 *
 * Load it answers: customers whose requests are spread unevenly over many daemons, each of which
 * sees far less than one request of a customer in the time that a token takes. Requests of a
 * customer with tokens left are admitted at once and charged afterwards; the bucket pays for them
 * as a debt. A customer that runs short gets tokens one by one, wherever its requests are.
 *
 * Daemons that don't report here may use their own shares of the rates, which are held back.
 * Does no I/O.
 */
class QuotaCoordinator
{
public:
  explicit QuotaCoordinator(QuotaTolerance aTolerance)
    : mTolerance(aTolerance)
  {
  }

  /** Sets what is called when a customer runs short or is no longer short. */
  void OnShortageChange(std::function<void(const QuotaShortage&)> aHook)
  {
    mOnShortageChange = std::move(aHook);
  }

  /** Sets the customers; their tokens are kept, up to the new limits. */
  void SetCustomers(const declaration::CustomerTable& aCustomers, core::TimePoint aNow);

  /**
   * Sets the listed daemons.
   *
   * @param aWeights their weights, by VM.
   * @param aIsFirst whether this daemon is the one that all others report to while they reach it.
   */
  void SetFleet(const std::map<std::string, double>& aWeights, bool aIsFirst, core::TimePoint aNow);

  /** Charges what a daemon has admitted, and grants tokens for what waits there. */
  QuotaReply Handle(const QuotaReport& aReport, core::TimePoint aNow);

  /** @return the share of the rates that is granted here, 0 to 1. */
  double GrantedShare(core::TimePoint aNow) const;

private:
  struct Account
  {
    double rate = 0.0;
    double burst = 0.0;
    /** Holds less than nothing after more requests were admitted than there were tokens. */
    upstream::TokenBucket bucket{ 0.0, {} };
    /** What may still be waived of a debt. */
    upstream::TokenBucket waiver{ 0.0, {} };
    /** Requests per second, over about the last second. */
    double demand = 0.0;
    core::TimePoint demandAt{};
    /** The time promised to the last caller that was refused. */
    core::TimePoint promisedUntil{};
    bool isShort = false;
  };

  QuotaTolerance mTolerance;
  std::function<void(const QuotaShortage&)> mOnShortageChange = [](const QuotaShortage&) {};
  std::map<std::string, Account, std::less<>> mAccounts;
  /** A daemon that is listed, or was a short time ago. */
  struct Member
  {
    double weight = 0.0;
    /** Since when it isn't listed; nothing while it is. */
    std::optional<core::TimePoint> missingSince;
  };

  std::map<std::string, Member> mMembers;
  bool mIsFirst = false;
  /** When each daemon reported last. */
  std::map<std::string, core::TimePoint> mReportedAt;
  core::TimePoint mLastReportAt{};
  /** When this daemon began to coordinate. */
  core::TimePoint mBeganAt{};

  /** @return what the bucket holds at most for the granted share of the quota. */
  double SizeOf(const Account& aAccount, double aShare) const;
  void RestartIfUnused(core::TimePoint aNow);
  void Charge(Account& aAccount, double aTokens, double aShare, core::TimePoint aNow) const;
  void WaiveDebt(Account& aAccount, double aShare, core::TimePoint aNow) const;
  Account NewAccount(core::TimePoint aNow) const;
  double TokensOf(const Account& aAccount, double aShare, core::TimePoint aNow) const;
  void RecordDemand(Account& aAccount, double aRequests, core::TimePoint aNow) const;
  void ReviewShortage(Account& aAccount, double aShare, core::TimePoint aNow) const;
  core::Duration PromiseToken(Account& aAccount, double aShare, core::TimePoint aNow) const;
};

} // namespace skylarkwing::caller
