#include "caller/customer_quota.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::caller {

namespace {

/** Time after the coordinator's last answer after which its list of short customers is outdated. */
constexpr core::Duration kContactTime = std::chrono::milliseconds{ 1500 };

/** Time until use is reported; the coordinator must notice a rise of the demand soon. */
constexpr core::Duration kReportInterval = std::chrono::milliseconds{ 50 };

/**
 * Interval of reports without use, from which this daemon hears which customers are short. It grows
 * with the fleet, so that the coordinator gets at most 330 of them per second.
 */
constexpr core::Duration kMinIdleInterval = std::chrono::milliseconds{ 300 };
constexpr core::Duration kIdleIntervalPerDaemon = std::chrono::milliseconds{ 3 };
constexpr core::Duration kMaxIdleInterval = std::chrono::milliseconds{ 1000 };

/**
 * Longest time for which requests are refused without asking again. Tokens go to whoever asks, so
 * that a daemon that waited for its own promised one would leave others to be used elsewhere.
 */
constexpr core::Duration kMaxLocalRefusal = std::chrono::milliseconds{ 100 };

/** Latest time that a caller is told to come back. */
constexpr core::Duration kMaxRetryAfter = std::chrono::seconds{ 10 };

} // namespace

QuotaVerdict
CustomerQuota::Decide(const declaration::Customer& aCustomer, core::TimePoint aNow)
{
  if (aCustomer.ratePerSecond <= 0.0) {
    return {};
  }
  const auto refused = mRefusals.find(aCustomer.name);
  if (refused != mRefusals.end() && aNow < refused->second.askAgainAt) {
    return { QuotaStep::Refuse, refused->second.nextTokenAt - aNow };
  }
  const bool isInContact = mAnsweredAt && aNow - *mAnsweredAt <= kContactTime;
  if (!isInContact || mShort.count(aCustomer.name) > 0) {
    return { QuotaStep::Ask, {} };
  }
  ++mUsed[aCustomer.name];
  return {};
}

QuotaVerdict
CustomerQuota::DecideAlone(const declaration::Customer& aCustomer, core::TimePoint aNow)
{
  const double rate = aCustomer.ratePerSecond * mOwnShare;
  const double size = std::max(1.0, aCustomer.burst * mOwnShare);
  // It begins empty: the coordinator has granted the tokens up to now.
  const auto [it, isNew] =
    mOwnBuckets.try_emplace(aCustomer.name, upstream::TokenBucket(0.0, aNow));
  if (it->second.TryTake(rate, size, aNow)) {
    ++mUsed[aCustomer.name];
    return {};
  }
  return { QuotaStep::Refuse,
           std::min(it->second.TimeUntil(1.0, rate, size, aNow), kMaxRetryAfter) };
}

void
CustomerQuota::Refund(const declaration::Customer& aCustomer)
{
  if (aCustomer.ratePerSecond > 0.0) {
    --mUsed[aCustomer.name];
  }
}

QuotaReport
CustomerQuota::TakeReport()
{
  QuotaReport report;
  report.vm = mVm;
  std::erase_if(mUsed, [](const auto& aEntry) { return aEntry.second == 0; });
  report.used = std::exchange(mUsed, {});
  return report;
}

void
CustomerQuota::ReturnReport(const QuotaReport& aReport)
{
  for (const auto& [name, count] : aReport.used) {
    mUsed[name] += count;
  }
}

void
CustomerQuota::Apply(const QuotaReply& aReply, core::TimePoint aNow)
{
  mAnsweredAt = aNow;
  mShort = aReply.shortCustomers;
  mOwnBuckets.clear();
  std::erase_if(mRefusals, [aNow](const auto& aEntry) { return aEntry.second.askAgainAt <= aNow; });
  for (const auto& [name, wait] : aReply.nextToken) {
    mRefusals[name] = { aNow + std::min(wait, kMaxLocalRefusal), aNow + wait };
  }
}

core::Duration
CustomerQuota::ReportInterval() const
{
  if (!mUsed.empty()) {
    return kReportInterval;
  }
  return std::clamp<core::Duration>(
    kIdleIntervalPerDaemon * mDaemons, kMinIdleInterval, kMaxIdleInterval);
}

} // namespace skylarkwing::caller
