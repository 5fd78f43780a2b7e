#pragma once

#include "caller/quota_messages.h"
#include "declaration/customer_table.h"
#include "upstream/token_bucket.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace skylarkwing::caller {

/** What happens with a request of a customer that has a quota. */
enum class QuotaStep
{
  Admit,
  /** It needs a token of the coordinator. */
  Ask,
  Refuse,
};

/** The decision on one request. */
struct QuotaVerdict
{
  QuotaStep step = QuotaStep::Admit;
  /** When a refused caller may come back. */
  core::Duration retryAfter{};
};

/**
 * One daemon's part in the customers' quotas: which requests are admitted at once, which need a
 * token of the coordinator, and what the daemon may do while it reaches no coordinator.
 * Does no I/O.
 */
class CustomerQuota
{
public:
  explicit CustomerQuota(std::string aVm)
    : mVm(std::move(aVm))
  {
  }

  /**
   * @param aDaemons number of daemons.
   * @param aOwnShare this daemon's share of the rates, 0 to 1, for when it reaches no coordinator.
   */
  void SetFleet(std::size_t aDaemons, double aOwnShare)
  {
    mDaemons = aDaemons;
    mOwnShare = aOwnShare;
  }

  /** Decides on a request, and counts one that is admitted. */
  QuotaVerdict Decide(const declaration::Customer& aCustomer, core::TimePoint aNow);

  /** Decides on a request that no coordinator has answered. */
  QuotaVerdict DecideAlone(const declaration::Customer& aCustomer, core::TimePoint aNow);

  /** Gives back what a request has used that didn't run. */
  void Refund(const declaration::Customer& aCustomer);

  /** @return the next report without the requests that wait; its counts begin anew. */
  QuotaReport TakeReport();

  /** Takes back a report that may not have arrived; the customers are rather charged twice. */
  void ReturnReport(const QuotaReport& aReport);

  /** Applies the coordinator's answer. */
  void Apply(const QuotaReply& aReply, core::TimePoint aNow);

  /** @return how long the next report may wait. */
  core::Duration ReportInterval() const;

private:
  std::string mVm;
  std::size_t mDaemons = 1;
  double mOwnShare = 1.0;
  std::map<std::string, std::int64_t> mUsed;
  std::set<std::string, std::less<>> mShort;
  /** A customer whose requests are refused without asking. */
  struct Refusal
  {
    core::TimePoint askAgainAt;
    /** When the next token is expected that isn't promised to another caller. */
    core::TimePoint nextTokenAt;
  };

  std::map<std::string, Refusal, std::less<>> mRefusals;
  std::optional<core::TimePoint> mAnsweredAt;
  /** Buckets for this daemon's own shares, by customer. */
  std::map<std::string, upstream::TokenBucket, std::less<>> mOwnBuckets;
};

} // namespace skylarkwing::caller
