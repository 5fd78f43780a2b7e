#include "caller/quota_client.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::caller {

namespace {

/** Time for which a coordinator that didn't answer is passed over. */
constexpr core::Duration kAvoidTime = std::chrono::seconds{ 3 };

/** Daemons that are asked one after the other before this daemon decides alone. */
constexpr std::size_t kMaxCoordinators = 3;

/** Pause after a report that nobody answered. */
constexpr core::Duration kRetryInterval = std::chrono::milliseconds{ 250 };

/** How often an inactive client checks whether it has become active. */
constexpr core::Duration kInactiveInterval = std::chrono::seconds{ 60 };

} // namespace

QuotaClient::QuotaClient(core::TimerService& aTimers,
                         core::Metrics& aMetrics,
                         std::string aVm,
                         QuotaHooks aHooks)
  : mTimers(aTimers)
  , mHooks(std::move(aHooks))
  , mQuota(std::move(aVm))
  , mWakeUps(aTimers)
  , mAdmitted(aMetrics.Counter("skylarkwing_entry_quota_decisions_total",
                               "Requests of customers with a quota, by how they were decided.",
                               { { "decision", "admitted" } }))
  , mGranted(aMetrics.Counter("skylarkwing_entry_quota_decisions_total",
                              "Requests of customers with a quota, by how they were decided.",
                              { { "decision", "granted" } }))
  , mRefused(aMetrics.Counter("skylarkwing_entry_quota_decisions_total",
                              "Requests of customers with a quota, by how they were decided.",
                              { { "decision", "refused" } }))
  , mUnanswered(aMetrics.Counter("skylarkwing_entry_quota_reports_unanswered_total",
                                 "Reports that a coordinator of the quotas didn't answer."))
{
}

void
QuotaClient::SetActive(bool aIsActive)
{
  const bool wasActive = std::exchange(mIsActive, aIsActive);
  if (aIsActive && !wasActive) {
    mWakeUps.Push(true);
  }
}

core::Task<void>
QuotaClient::Run([[maybe_unused]] std::shared_ptr<QuotaClient> aSelf)
{
  core::TimePoint reportedAt = mTimers.Now();
  while (true) {
    const core::TimePoint due = reportedAt + mQuota.ReportInterval();
    if (mWaiters.empty()) {
      const core::TimePoint latest = mIsActive ? due : mTimers.Now() + kInactiveInterval;
      co_await mWakeUps.Receive(latest);
    }
    while (mWakeUps.Poll()) {
    }
    if (!mWaiters.empty() || (mIsActive && mTimers.Now() >= reportedAt + mQuota.ReportInterval())) {
      co_await ReportOnce();
      reportedAt = mTimers.Now();
    }
  }
}

core::Task<std::optional<core::Duration>>
QuotaClient::Take(const declaration::Customer& aCustomer)
{
  const QuotaVerdict verdict = mQuota.Decide(aCustomer, mTimers.Now());
  if (verdict.step == QuotaStep::Admit) {
    mAdmitted.Increment();
    mWakeUps.Push(true);
    co_return std::nullopt;
  }
  if (verdict.step == QuotaStep::Refuse) {
    mRefused.Increment();
    co_return verdict.retryAfter;
  }
  const auto retryAfter = std::make_shared<std::optional<core::Duration>>();
  std::function<void(std::function<void()>)> start = [&](std::function<void()> aWake) {
    mWaiters.push_back({ aCustomer, std::move(aWake), retryAfter });
    mWakeUps.Push(true);
  };
  co_await core::AwaitCallback(std::move(start));
  (*retryAfter ? mRefused : mGranted).Increment();
  co_return *retryAfter;
}

core::Task<void>
QuotaClient::ReportOnce()
{
  QuotaReport report = mQuota.TakeReport();
  co_await LeaveCoordinator(report);
  std::deque<Waiter> waiters = std::exchange(mWaiters, {});
  for (const Waiter& waiter : waiters) {
    ++report.asked[waiter.customer.name];
  }
  QuotaReport sent = report;
  const std::optional<QuotaReply> reply = co_await Ask(std::move(sent));
  if (reply) {
    mQuota.Apply(*reply, mTimers.Now());
  } else {
    mQuota.ReturnReport(report);
  }
  const bool hadWaiters = !waiters.empty();
  AnswerWaiters(waiters, reply);
  if (!reply && !hadWaiters) {
    co_await core::Sleep(mTimers, kRetryInterval);
  }
}

core::Task<void>
QuotaClient::LeaveCoordinator(QuotaReport& aReport)
{
  // While both coordinators counted on this daemon, they would grant its share of the rates twice.
  const std::vector<std::string> listed = mHooks.listCoordinators();
  const std::optional<std::string> next = ChooseCoordinator({});
  const bool isListed = std::find(listed.begin(), listed.end(), mCoordinator) != listed.end();
  if (!next || *next == mCoordinator || !isListed || mAvoidedUntil.count(mCoordinator) > 0) {
    co_return;
  }
  QuotaReport last = aReport;
  last.isLast = true;
  std::string target = mCoordinator;
  const auto reply = co_await mHooks.report(std::move(target), std::move(last));
  if (reply) {
    aReport.used.clear();
  }
}

core::Task<std::optional<QuotaReply>>
QuotaClient::Ask(QuotaReport aReport)
{
  std::vector<std::string> tried;
  while (tried.size() < kMaxCoordinators) {
    const std::optional<std::string> vm = ChooseCoordinator(tried);
    if (!vm) {
      break;
    }
    tried.push_back(*vm);
    std::string target = *vm;
    QuotaReport report = aReport;
    std::optional<QuotaReply> reply = co_await mHooks.report(std::move(target), std::move(report));
    if (reply) {
      if (mCoordinator != *vm) {
        core::LogEvent(core::LogLevel::Info,
                       "caller",
                       "quota_coordinator_changed",
                       { { "from", mCoordinator }, { "to", *vm } });
        mCoordinator = *vm;
      }
      co_return reply;
    }
    mUnanswered.Increment();
    mAvoidedUntil[*vm] = mTimers.Now() + kAvoidTime;
  }
  if (!mCoordinator.empty()) {
    core::LogEvent(core::LogLevel::Warning,
                   "caller",
                   "quota_coordinator_lost",
                   { { "last", mCoordinator }, { "tried", std::to_string(tried.size()) } });
    mCoordinator.clear();
  }
  co_return std::nullopt;
}

std::optional<std::string>
QuotaClient::ChooseCoordinator(const std::vector<std::string>& aTried)
{
  const core::TimePoint now = mTimers.Now();
  std::erase_if(mAvoidedUntil, [now](const auto& aEntry) { return aEntry.second <= now; });
  for (std::string& vm : mHooks.listCoordinators()) {
    const bool wasTried = std::find(aTried.begin(), aTried.end(), vm) != aTried.end();
    if (!wasTried && mAvoidedUntil.count(vm) == 0) {
      return std::move(vm);
    }
  }
  return std::nullopt;
}

void
QuotaClient::AnswerWaiters(const std::deque<Waiter>& aWaiters,
                           const std::optional<QuotaReply>& aReply)
{
  std::map<std::string, std::uint32_t> granted;
  if (aReply) {
    granted = aReply->granted;
  }
  for (const Waiter& waiter : aWaiters) {
    const std::string& name = waiter.customer.name;
    if (!aReply) {
      const QuotaVerdict verdict = mQuota.DecideAlone(waiter.customer, mTimers.Now());
      if (verdict.step != QuotaStep::Admit) {
        *waiter.retryAfter = verdict.retryAfter;
      }
    } else if (granted[name] > 0) {
      --granted[name];
    } else {
      const auto wait = aReply->nextToken.find(name);
      *waiter.retryAfter = wait == aReply->nextToken.end() ? kRetryInterval : wait->second;
    }
    waiter.wake();
  }
}

} // namespace skylarkwing::caller
