// Plays customers' demand against the quotas of 7, 60 and 300 daemons under virtual time. Each case
// checks the most requests that were admitted in any window, and how much of the allowed was used.

#include "caller/customer_quota.h"
#include "caller/quota_coordinator.h"

#include "core/random_source.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::caller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint kStart{ seconds{ 1000 } };
constexpr core::Duration kStep = milliseconds{ 5 };
/** One way between two daemons. */
constexpr core::Duration kDelay = milliseconds{ 10 };
constexpr core::Duration kReportTimeout = milliseconds{ 200 };
constexpr core::Duration kWindow = seconds{ 5 };
constexpr double kOverrun = 0.1;
constexpr double kSlack = 20.0;
/** Least share of the allowed requests that a customer with enough demand gets. */
constexpr double kLeastUse = 0.9;

const std::vector<std::size_t> kFleets{ 7, 60, 300 };

/** A fleet whose daemons share the quota of one customer. The first ones coordinate. */
class Fleet
{
public:
  Fleet(std::size_t aDaemons, double aRate, double aBurst)
  {
    SetLimit(aRate, aBurst);
    for (std::size_t n = 0; n < aDaemons; ++n) {
      mDaemons.push_back(std::make_unique<Daemon>("vm-" + std::to_string(n)));
      // Demand that falls with the daemon's number: the tenth has a tenth of the first one's.
      mDaemons.back()->weight = 1.0 / static_cast<double>(n + 1);
    }
    ListAll();
  }

  core::TimePoint Now() const { return mNow; }

  void SetLimit(double aRate, double aBurst)
  {
    mCustomer.name = "farm";
    mCustomer.ratePerSecond = aRate;
    mCustomer.burst = aBurst;
    mTable = {};
    mTable.Add(mCustomer, {});
    for (const auto& daemon : mDaemons) {
      daemon->coordinator.SetCustomers(mTable, mNow);
    }
  }

  /** Requests per second of the customer at all daemons together. */
  double demand = 0.0;

  /** Has each daemon's demand come to another one. */
  void ReverseDemand()
  {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      mDaemons[n]->weight = 1.0 / static_cast<double>(mDaemons.size() - n);
    }
  }

  /** All daemons lose what they know, as after a kill. */
  void KillAll()
  {
    for (auto& daemon : mDaemons) {
      const double weight = daemon->weight;
      daemon = std::make_unique<Daemon>(daemon->vm);
      daemon->weight = weight;
    }
    ListAll();
  }

  /** Ends a daemon; it stays in the list until Unlist(). */
  void Kill(std::size_t aIndex) { mDaemons[aIndex]->isDead = true; }

  void Unlist(std::size_t aIndex)
  {
    mUnlisted = aIndex;
    ListAll();
  }

  /** Starts a daemon again that was killed and unlisted. */
  void Revive(std::size_t aIndex)
  {
    const double weight = mDaemons[aIndex]->weight;
    mDaemons[aIndex] = std::make_unique<Daemon>(mDaemons[aIndex]->vm);
    mDaemons[aIndex]->weight = weight;
    mUnlisted.reset();
    ListAll();
  }

  /** The other daemons report to the second one, the first to itself. */
  void LeaveFirst()
  {
    for (std::size_t n = 1; n < mDaemons.size(); ++n) {
      mDaemons[n]->firstAvoidedUntil = core::TimePoint::max();
    }
  }

  /** Cuts the last daemons off from all others, or reconnects them. */
  void CutOff(std::size_t aCount, bool aIsCut)
  {
    for (std::size_t n = mDaemons.size() - aCount; n < mDaemons.size(); ++n) {
      mDaemons[n]->isCut = aIsCut;
    }
  }

  void Run(core::Duration aSpan)
  {
    const core::TimePoint end = mNow + aSpan;
    while (mNow < end) {
      mNow += kStep;
      double total = 0.0;
      for (const auto& daemon : mDaemons) {
        total += daemon->isDead ? 0.0 : daemon->weight;
      }
      for (const auto& daemon : mDaemons) {
        if (!daemon->isDead) {
          Arrive(*daemon, demand * daemon->weight / total);
          Exchange(*daemon);
        }
      }
    }
  }

  /** @return the most requests admitted in a window that begins at a time or later. */
  std::size_t MostInWindow(core::TimePoint aFrom) const
  {
    std::size_t most = 0;
    std::size_t begin = 0;
    for (std::size_t n = 0; n < mAdmitted.size(); ++n) {
      while (mAdmitted[begin] < aFrom || mAdmitted[n] - mAdmitted[begin] >= kWindow) {
        if (++begin > n) {
          break;
        }
      }
      if (begin <= n) {
        most = std::max(most, n - begin + 1);
      }
    }
    return most;
  }

  std::size_t AdmittedSince(core::TimePoint aFrom) const
  {
    return static_cast<std::size_t>(
      std::count_if(mAdmitted.begin(), mAdmitted.end(), [aFrom](core::TimePoint aTime) {
        return aTime >= aFrom;
      }));
  }

  std::size_t Refused() const { return mRefused; }

  double Allowed() const
  {
    const double span = std::chrono::duration<double>(kWindow).count();
    return (mCustomer.ratePerSecond * span + mCustomer.burst) * (1.0 + kOverrun) + kSlack;
  }

private:
  struct Message
  {
    core::TimePoint due;
    std::size_t target = 0;
    QuotaReport report;
    std::size_t waiters = 0;
    std::optional<QuotaReply> reply;
  };

  struct Daemon
  {
    explicit Daemon(std::string aVm)
      : vm(std::move(aVm))
      , quota(vm)
      , coordinator({ kWindow, kOverrun, kSlack })
    {
    }

    std::string vm;
    CustomerQuota quota;
    QuotaCoordinator coordinator;
    double weight = 1.0;
    bool isDead = false;
    bool isCut = false;
    std::size_t waiting = 0;
    std::optional<Message> pending;
    core::TimePoint lastReport{};
    core::TimePoint firstAvoidedUntil{};
    std::size_t lastTarget = 0;
  };

  core::TimePoint mNow = kStart;
  core::RandomSource mRandom{ 20261206 };
  declaration::Customer mCustomer;
  declaration::CustomerTable mTable;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::optional<std::size_t> mUnlisted;
  std::vector<core::TimePoint> mAdmitted;
  std::size_t mRefused = 0;

  void ListAll()
  {
    std::map<std::string, double> weights;
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (mUnlisted != n) {
        weights[mDaemons[n]->vm] = 1.0;
      }
    }
    const std::size_t first = mUnlisted == std::size_t{ 0 } ? 1 : 0;
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      mDaemons[n]->coordinator.SetCustomers(mTable, mNow);
      mDaemons[n]->coordinator.SetFleet(weights, n == first, mNow);
      mDaemons[n]->quota.SetFleet(weights.size(), 1.0 / static_cast<double>(weights.size()));
    }
  }

  void Admit() { mAdmitted.push_back(mNow); }

  void Arrive(Daemon& aDaemon, double aPerSecond)
  {
    const double mean = aPerSecond * std::chrono::duration<double>(kStep).count();
    // Bernoulli arrivals; several in one step when the rate asks for it.
    const int whole = static_cast<int>(mean);
    const int count = whole + (mRandom.Fraction() < mean - whole ? 1 : 0);
    for (int n = 0; n < count; ++n) {
      const QuotaVerdict verdict = aDaemon.quota.Decide(mCustomer, mNow);
      if (verdict.step == QuotaStep::Admit) {
        Admit();
      } else if (verdict.step == QuotaStep::Ask) {
        ++aDaemon.waiting;
      } else {
        ++mRefused;
      }
    }
  }

  void Exchange(Daemon& aDaemon)
  {
    if (aDaemon.pending && mNow >= aDaemon.pending->due) {
      Message message = std::move(*aDaemon.pending);
      aDaemon.pending.reset();
      Receive(aDaemon, std::move(message));
    }
    if (!aDaemon.pending &&
        (aDaemon.waiting > 0 || mNow >= aDaemon.lastReport + aDaemon.quota.ReportInterval())) {
      Send(aDaemon);
    }
  }

  void Send(Daemon& aDaemon)
  {
    Message message;
    message.report = aDaemon.quota.TakeReport();
    message.waiters = std::exchange(aDaemon.waiting, 0);
    if (message.waiters > 0) {
      message.report.asked[mCustomer.name] = static_cast<std::uint32_t>(message.waiters);
    }
    message.target = mUnlisted == std::size_t{ 0 } || mNow < aDaemon.firstAvoidedUntil ? 1 : 0;
    if (message.target == 0 && std::exchange(aDaemon.lastTarget, 0) == 1) {
      QuotaReport last = message.report;
      last.asked.clear();
      last.isLast = true;
      mDaemons[1]->coordinator.Handle(last, mNow + kDelay);
      message.report.used.clear();
    }
    aDaemon.lastTarget = message.target;
    Daemon& target = *mDaemons[message.target];
    const bool isOwn = &target == &aDaemon;
    if (target.isDead || ((target.isCut || aDaemon.isCut) && !isOwn)) {
      message.due = mNow + kReportTimeout;
    } else {
      message.reply = target.coordinator.Handle(message.report, mNow + (isOwn ? kStep : kDelay));
      message.due = mNow + (isOwn ? kStep : 2 * kDelay);
    }
    aDaemon.pending = std::move(message);
  }

  void Receive(Daemon& aDaemon, Message aMessage)
  {
    std::uint32_t granted = 0;
    if (aMessage.reply) {
      aDaemon.quota.Apply(*aMessage.reply, mNow);
      granted = aMessage.reply->granted[mCustomer.name];
    } else {
      aDaemon.quota.ReturnReport(aMessage.report);
      aDaemon.firstAvoidedUntil = mNow + seconds{ 3 };
    }
    aDaemon.lastReport = mNow;
    for (std::size_t n = 0; n < aMessage.waiters; ++n) {
      const bool isAdmitted =
        aMessage.reply ? n < granted
                       : aDaemon.quota.DecideAlone(mCustomer, mNow).step == QuotaStep::Admit;
      if (isAdmitted) {
        Admit();
      } else {
        ++mRefused;
      }
    }
  }
};

/** @return the share of what the rate allows in a span that was used. */
double
UseOf(const Fleet& aFleet, core::TimePoint aFrom, double aRate)
{
  const double span = std::chrono::duration<double>(aFleet.Now() - aFrom).count();
  return static_cast<double>(aFleet.AdmittedSince(aFrom)) / (aRate * span);
}

} // namespace

BOOST_AUTO_TEST_SUITE(customer_quota)

// A limit far below one request a second and daemon, demand that is uneven and rises to 7.5 times
// the usual.
BOOST_DATA_TEST_CASE(a_customer_beyond_its_quota_gets_what_it_allows, kFleets, daemons)
{
  Fleet fleet(daemons, 6.0, 6.0);
  fleet.demand = 3.75;
  fleet.Run(seconds{ 15 });
  BOOST_TEST(fleet.Refused() <= 2U);
  fleet.demand = 28.0;
  fleet.Run(seconds{ 2 });
  const core::TimePoint steady = fleet.Now();
  fleet.Run(seconds{ 8 });
  BOOST_TEST(UseOf(fleet, steady, 6.0) >= kLeastUse);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
}

BOOST_DATA_TEST_CASE(a_large_customer_gets_what_its_quota_allows, kFleets, daemons)
{
  Fleet fleet(daemons, 43.0, 43.0);
  fleet.demand = 27.0;
  fleet.Run(seconds{ 15 });
  BOOST_TEST(fleet.Refused() <= 4U);
  fleet.demand = 200.0;
  fleet.Run(seconds{ 2 });
  const core::TimePoint steady = fleet.Now();
  fleet.Run(seconds{ 8 });
  BOOST_TEST(UseOf(fleet, steady, 43.0) >= kLeastUse);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
}

BOOST_DATA_TEST_CASE(the_quota_follows_demand_that_moves_to_other_daemons, kFleets, daemons)
{
  Fleet fleet(daemons, 20.0, 20.0);
  fleet.demand = 60.0;
  fleet.Run(seconds{ 10 });
  fleet.ReverseDemand();
  fleet.Run(seconds{ 2 });
  const core::TimePoint steady = fleet.Now();
  fleet.Run(seconds{ 6 });
  BOOST_TEST(UseOf(fleet, steady, 20.0) >= kLeastUse);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
}

// A bucket that starts full at each daemon would be as many bursts as there are daemons.
BOOST_DATA_TEST_CASE(the_quota_holds_after_all_daemons_were_killed, kFleets, daemons)
{
  Fleet fleet(daemons, 6.0, 6.0);
  fleet.demand = 40.0;
  fleet.Run(seconds{ 12 });
  for (int n = 0; n < 3; ++n) {
    fleet.KillAll();
    fleet.Run(milliseconds{ 1500 });
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
  fleet.Run(seconds{ 2 });
  const core::TimePoint steady = fleet.Now();
  fleet.Run(seconds{ 6 });
  BOOST_TEST(UseOf(fleet, steady, 6.0) >= kLeastUse);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
}

BOOST_DATA_TEST_CASE(the_quota_holds_while_the_coordinator_is_replaced, kFleets, daemons)
{
  Fleet fleet(daemons, 20.0, 20.0);
  fleet.demand = 80.0;
  fleet.Run(seconds{ 12 });
  fleet.Kill(0);
  fleet.Run(seconds{ 3 });
  fleet.Unlist(0);
  fleet.Run(seconds{ 2 });
  core::TimePoint steady = fleet.Now();
  fleet.Run(seconds{ 6 });
  // The share of the lost daemon is held back at first: it may only be out of reach.
  const double rest = static_cast<double>(daemons - 1) / static_cast<double>(daemons);
  BOOST_TEST(UseOf(fleet, steady, 20.0) >= kLeastUse * rest);
  fleet.Run(seconds{ 4 });
  steady = fleet.Now();
  fleet.Run(seconds{ 6 });
  BOOST_TEST(UseOf(fleet, steady, 20.0) >= kLeastUse);
  // Both coordinators must not count on the same daemons when the first one returns.
  fleet.Revive(0);
  fleet.Run(seconds{ 2 });
  const core::TimePoint returned = fleet.Now();
  fleet.Run(seconds{ 6 });
  BOOST_TEST(UseOf(fleet, returned, 20.0) >= kLeastUse);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
}

BOOST_DATA_TEST_CASE(the_quota_holds_while_daemons_are_cut_off_from_each_other, kFleets, daemons)
{
  for (const std::size_t part : { 3U, 2U }) {
    Fleet fleet(daemons, 20.0, 20.0);
    fleet.demand = 80.0;
    fleet.Run(seconds{ 12 });
    fleet.CutOff(daemons / part, true);
    fleet.Run(seconds{ 10 });
    fleet.CutOff(daemons / part, false);
    fleet.Run(seconds{ 8 });
    BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
  }
}

// It was cut off from the store, and its entry expired: it went on to coordinate for itself.
BOOST_DATA_TEST_CASE(the_quota_holds_while_a_coordinator_that_was_left_goes_on, kFleets, daemons)
{
  Fleet fleet(daemons, 71.0, 71.0);
  fleet.demand = 44.0;
  fleet.Run(seconds{ 12 });
  fleet.LeaveFirst();
  fleet.Run(seconds{ 2 });
  fleet.demand = 290.0;
  fleet.Run(seconds{ 8 });
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(kStart)) <= fleet.Allowed());
}

BOOST_DATA_TEST_CASE(a_lowered_limit_holds_one_window_later, kFleets, daemons)
{
  Fleet fleet(daemons, 43.0, 43.0);
  fleet.demand = 40.0;
  fleet.Run(seconds{ 15 });
  fleet.SetLimit(5.0, 5.0);
  const core::TimePoint lowered = fleet.Now();
  fleet.Run(seconds{ 12 });
  BOOST_TEST(static_cast<double>(fleet.MostInWindow(lowered)) <= fleet.Allowed());
}

BOOST_AUTO_TEST_CASE(a_refused_caller_is_told_when_a_token_will_be_there)
{
  declaration::CustomerTable table;
  declaration::Customer customer;
  customer.name = "farm";
  customer.ratePerSecond = 2.0;
  table.Add(customer, {});
  QuotaCoordinator coordinator({ kWindow, 0.0, 0.0 });
  coordinator.SetCustomers(table, kStart);
  QuotaReport report;
  report.vm = "vm-0";
  report.asked["farm"] = 1;
  // The bucket begins empty.
  const core::TimePoint later = kStart + milliseconds{ 100 };
  QuotaReply reply = coordinator.Handle(report, later);
  BOOST_TEST(reply.granted["farm"] == 0U);
  const core::Duration first = reply.nextToken["farm"];
  BOOST_TEST((first > milliseconds{ 400 } && first < milliseconds{ 600 }));
  // The next caller gets the token after it.
  const core::Duration second = coordinator.Handle(report, later).nextToken["farm"];
  BOOST_TEST((second >= first + milliseconds{ 490 }));
  BOOST_TEST(coordinator.Handle(report, later + first).granted["farm"] == 1U);
}

// A caller that was told the end of the local refusal came back at once and took tokens of others.
BOOST_AUTO_TEST_CASE(a_caller_that_is_refused_locally_is_told_when_a_token_will_be_there)
{
  declaration::Customer customer;
  customer.name = "farm";
  customer.ratePerSecond = 2.0;
  CustomerQuota quota("vm-0");
  QuotaReply reply;
  reply.shortCustomers = { "farm" };
  reply.nextToken["farm"] = seconds{ 3 };
  quota.Apply(reply, kStart);
  const QuotaVerdict verdict = quota.Decide(customer, kStart + milliseconds{ 50 });
  BOOST_TEST((verdict.step == QuotaStep::Refuse));
  BOOST_TEST((verdict.retryAfter == milliseconds{ 2950 }));
  BOOST_TEST((quota.Decide(customer, kStart + milliseconds{ 150 }).step == QuotaStep::Ask));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller
