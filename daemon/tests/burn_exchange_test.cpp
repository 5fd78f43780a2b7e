#include "daemon/burn_exchange.h"

#include "core/virtual_timer_service.h"
#include "net/tests/fake_peer_bus.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::daemon {

namespace {

using namespace std::chrono_literals;

using net::test::FakePeerBus;

declaration::Configuration
MakeConfiguration()
{
  declaration::Configuration configuration;
  configuration.generation = 1;
  configuration.declaration.deployment = "test";
  declaration::ProfileDeclaration profile;
  profile.name = "lookup";
  profile.objective.latency = 50ms;
  configuration.declaration.profiles = { profile };
  return configuration;
}

/** Counts and BurnExchange of one daemon. */
struct Node
{
  Node(core::VirtualTimerService& aTimers, FakePeerBus::Network& aNetwork, const std::string& aVm)
    : bus(aNetwork, aVm)
    , tracker(aTimers)
    , exchange(aTimers, bus, aVm, tracker, keeper, { [this] { return peers; } })
  {
    keeper.Offer(MakeConfiguration(), "test");
    tracker.SetProfiles(keeper.InForce()->declaration.profiles);
  }

  void Record(core::Duration aLatency)
  {
    console::AnswerOutcome outcome;
    outcome.profile = "lookup";
    outcome.latency = aLatency;
    tracker.Record(outcome);
  }

  FakePeerBus bus;
  declaration::ConfigurationKeeper keeper;
  console::BurnTracker tracker;
  std::vector<std::string> peers;
  BurnExchange exchange;
};

} // namespace

BOOST_AUTO_TEST_SUITE(burn_exchange)

BOOST_AUTO_TEST_CASE(a_report_merges_all_daemons_and_lists_missing_ones)
{
  core::VirtualTimerService timers;
  FakePeerBus::Network network;
  Node a(timers, network, "vm-a");
  Node b(timers, network, "vm-b");
  a.peers = { "vm-b", "vm-silent" };
  a.Record(10ms);
  b.Record(10ms);
  b.Record(90ms);
  std::vector<console::BurnReport> reports;
  a.exchange.Collect(console::BurnDetail::Full, [&reports](const console::BurnReport& aReport) {
    reports.push_back(aReport);
  });
  BOOST_TEST(reports.empty());
  timers.Advance(2s);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports[0].vms.size() == 2U);
  BOOST_REQUIRE(reports[0].missingVms.size() == 1U);
  BOOST_TEST(reports[0].missingVms[0] == "vm-silent");
  BOOST_REQUIRE(reports[0].profiles.size() == 1U);
  BOOST_TEST(reports[0].profiles[0].windows[0].latencyBurn > 1.0);
}

BOOST_AUTO_TEST_CASE(recent_counts_are_collected_only_on_demand)
{
  core::VirtualTimerService timers;
  FakePeerBus::Network network;
  Node a(timers, network, "vm-a");
  a.Record(90ms);
  BOOST_TEST(a.exchange.Recent().empty());
  timers.Advance(1s);
  BOOST_REQUIRE(a.exchange.Recent().size() == 1U);
  timers.Advance(1h);
  BOOST_TEST(!timers.NextDue().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::daemon
