#include "membership/tests/fake_cluster.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Cuts the network between daemons below a number and the others. */
void
CutBelow(FakeCluster& aCluster, std::size_t aNumber)
{
  aCluster.network.isCut = [aNumber](const std::string& aFrom, const std::string& aTo) {
    const auto from = std::stoul(aFrom.substr(3));
    const auto to = std::stoul(aTo.substr(3));
    return (from < aNumber) != (to < aNumber);
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(connectivity_monitor)

BOOST_AUTO_TEST_CASE(daemons_that_agree_continue_without_the_store)
{
  FakeCluster cluster(1);
  cluster.StartAll(8);
  cluster.Advance(std::chrono::minutes{ 10 });
  for (std::size_t n = 0; n < 8; ++n) {
    BOOST_TEST(cluster.At(n).connectivity.MayTakeNewWork());
    BOOST_TEST((cluster.At(n).connectivity.Current() == Connectivity::Peers));
  }
}

BOOST_AUTO_TEST_CASE(a_minority_stops_within_three_seconds_and_the_majority_continues)
{
  for (const std::size_t count : { 8U, 32U }) {
    FakeCluster cluster(count);
    cluster.StartAll(count);
    CutBelow(cluster, count / 4);
    cluster.Advance(milliseconds{ 500 });
    BOOST_TEST(cluster.At(0).connectivity.MayTakeNewWork());
    cluster.Advance(milliseconds{ 2500 });
    for (std::size_t n = 0; n < count; ++n) {
      BOOST_TEST(cluster.At(n).connectivity.MayTakeNewWork() == (n >= count / 4));
    }
    BOOST_TEST((cluster.At(0).connectivity.Current() == Connectivity::Minority));
    cluster.network.isCut = nullptr;
    cluster.Advance(seconds{ 5 });
    BOOST_TEST(cluster.At(0).connectivity.MayTakeNewWork());
  }
}

BOOST_AUTO_TEST_CASE(an_isolated_daemon_of_a_large_fleet_stops_within_three_seconds)
{
  FakeCluster cluster(32);
  cluster.StartAll(32);
  CutBelow(cluster, 1);
  cluster.Advance(seconds{ 3 });
  BOOST_TEST(!cluster.At(0).connectivity.MayTakeNewWork());
  BOOST_TEST(cluster.At(1).connectivity.MayTakeNewWork());
}

BOOST_AUTO_TEST_CASE(a_minority_that_reaches_the_store_continues)
{
  FakeCluster cluster(2);
  cluster.StartAll(8);
  CutBelow(cluster, 1);
  cluster.Advance(seconds{ 10 });
  FakeDaemon& daemon = cluster.At(0);
  BOOST_TEST(!daemon.connectivity.MayTakeNewWork());
  BOOST_TEST((daemon.connectivity.Current() == Connectivity::None));
  daemon.storeConfirmedAt = cluster.timers.Now();
  BOOST_TEST(daemon.connectivity.MayTakeNewWork());
  cluster.Advance(milliseconds{ 3001 });
  BOOST_TEST(!daemon.connectivity.MayTakeNewWork());
}

BOOST_AUTO_TEST_CASE(peers_that_know_a_newer_configuration_do_not_agree)
{
  FakeCluster cluster(3);
  cluster.StartAll(8);
  // Daemon 0 learns of the generation by heartbeats, but drops the answers with the document.
  cluster.At(0).bus.OnMessage("configuration", [](const auto&, const auto&) {});
  cluster.At(1).keeper.Offer(ConfigurationOf(1), "store");
  cluster.Advance(seconds{ 1 });
  BOOST_TEST(cluster.At(0).connectivity.MayTakeNewWork());
  cluster.Advance(seconds{ 2 });
  BOOST_TEST(!cluster.At(0).connectivity.MayTakeNewWork());
  BOOST_TEST(cluster.At(2).connectivity.MayTakeNewWork());
}

BOOST_AUTO_TEST_CASE(a_daemon_does_not_trust_its_members_from_before_a_pause)
{
  FakeCluster cluster(4);
  cluster.StartAll(8);
  cluster.At(3).process.Pause();
  cluster.Advance(seconds{ 10 });
  CutBelow(cluster, 8);
  cluster.network.isCut = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom == VmOf(3) || aTo == VmOf(3);
  };
  BOOST_TEST(!cluster.At(3).connectivity.MayTakeNewWork());
  cluster.At(3).process.Resume();
  for (int n = 0; n < 40; ++n) {
    BOOST_TEST(!cluster.At(3).connectivity.MayTakeNewWork());
    cluster.Advance(milliseconds{ 100 });
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
