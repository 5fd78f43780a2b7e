#pragma once

#include "caller/customer_quota.h"
#include "core/metrics.h"
#include "core/task.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** What the client of the coordinator needs from its daemon. */
struct QuotaHooks
{
  /** @return the VMs that may coordinate, in the order in which all daemons use them. */
  std::function<std::vector<std::string>()> listCoordinators;
  /** Sends a report to a daemon, which may be this one. @return nothing when it didn't answer. */
  std::function<core::Task<std::optional<QuotaReply>>(std::string aVm, QuotaReport aReport)> report;
};

/**
 * Reports the use of the customers' quotas to the coordinator and gets tokens from it.
 *
 * All requests that wait for tokens are in one report, and only one report is under way. A
 * coordinator that doesn't answer is passed over for a while.
 */
class QuotaClient
{
public:
  QuotaClient(core::TimerService& aTimers,
              core::Metrics& aMetrics,
              std::string aVm,
              QuotaHooks aHooks);

  /**
   * Begins to report; continues until the process ends.
   *
   * @param aSelf keeps this object alive.
   */
  core::Task<void> Run(std::shared_ptr<QuotaClient> aSelf);

  /** Sets whether any customer has a quota; nothing is reported otherwise. */
  void SetActive(bool aIsActive);

  /** Sets the number of daemons and this one's share of the rates. */
  void SetFleet(std::size_t aDaemons, double aOwnShare) { mQuota.SetFleet(aDaemons, aOwnShare); }

  /**
   * Takes what one request needs of its customer's quota.
   *
   * @return nothing when it is admitted, otherwise when its caller may come back.
   */
  core::Task<std::optional<core::Duration>> Take(const declaration::Customer& aCustomer);

  /** Gives back what a request has used that didn't run. */
  void Refund(const declaration::Customer& aCustomer) { mQuota.Refund(aCustomer); }

private:
  /** A request that waits for a token. */
  struct Waiter
  {
    declaration::Customer customer;
    std::function<void()> wake;
    /** Set before it is woken: nothing when it is admitted. */
    std::shared_ptr<std::optional<core::Duration>> retryAfter;
  };

  core::TimerService& mTimers;
  QuotaHooks mHooks;
  CustomerQuota mQuota;
  core::Mailbox<bool> mWakeUps;
  bool mIsActive = false;
  std::deque<Waiter> mWaiters;
  /** Until when a coordinator is passed over, by VM. */
  std::map<std::string, core::TimePoint> mAvoidedUntil;
  std::string mCoordinator;
  prometheus::Counter& mAdmitted;
  prometheus::Counter& mGranted;
  prometheus::Counter& mRefused;
  prometheus::Counter& mUnanswered;

  core::Task<void> ReportOnce();
  core::Task<std::optional<QuotaReply>> Ask(QuotaReport aReport);
  core::Task<void> LeaveCoordinator(QuotaReport& aReport);
  std::optional<std::string> ChooseCoordinator(const std::vector<std::string>& aTried);
  void AnswerWaiters(const std::deque<Waiter>& aWaiters, const std::optional<QuotaReply>& aReply);
};

} // namespace skylarkwing::caller
