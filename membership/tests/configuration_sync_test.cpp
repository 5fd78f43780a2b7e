#include "membership/store_watchers.h"
#include "membership/tests/fake_cluster.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t
CountWithGeneration(FakeCluster& aCluster, std::uint64_t aGeneration)
{
  std::size_t n = 0;
  for (const auto& [number, daemon] : aCluster.daemons) {
    n += daemon->keeper.Generation() == aGeneration ? 1 : 0;
  }
  return n;
}

double
CounterOf(FakeDaemon& aDaemon, const std::string& aForm)
{
  return aDaemon.metrics
    .Counter("skylarkwing_membership_configuration_answers_total",
             "Configurations given to peers.",
             { { "form", aForm } })
    .Value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_sync)

BOOST_AUTO_TEST_CASE(a_configuration_is_in_force_everywhere_within_two_seconds)
{
  for (const std::size_t count : { 2U, 8U, 32U }) {
    FakeCluster cluster(count);
    cluster.StartAll(count);
    cluster.At(0).keeper.Offer(ConfigurationOf(1), "store");
    cluster.Advance(seconds{ 2 });
    BOOST_TEST(CountWithGeneration(cluster, 1) == count);
    cluster.Advance(seconds{ 3 });
    BOOST_TEST(cluster.At(1).sync.RolloutOf(1).applied == count);
  }
}

BOOST_AUTO_TEST_CASE(the_rollout_lists_outdated_and_unreachable_members)
{
  FakeCluster cluster(1);
  cluster.StartAll(8);
  cluster.network.isCut = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom == VmOf(5) || aTo == VmOf(5);
  };
  cluster.At(0).keeper.Offer(ConfigurationOf(1), "store");
  cluster.Advance(milliseconds{ 800 });
  const auto behind = cluster.At(0).sync.RolloutOf(1);
  BOOST_TEST(behind.applied == 7U);
  BOOST_TEST(behind.participants == 8U);
  BOOST_TEST(behind.outdated == std::vector<std::string>{ VmOf(5) });
  cluster.Advance(seconds{ 2 });
  const auto unreachable = cluster.At(0).sync.RolloutOf(1);
  BOOST_TEST(unreachable.participants == 7U);
  BOOST_TEST(unreachable.unreachable == std::vector<std::string>{ VmOf(5) });
}

BOOST_AUTO_TEST_CASE(a_new_daemon_gets_the_configuration_from_its_peers)
{
  FakeCluster cluster(2);
  cluster.StartAll(8);
  cluster.At(0).keeper.Offer(ConfigurationOf(7), "store");
  cluster.Advance(seconds{ 2 });
  cluster.StartDaemon(8);
  cluster.SendVmList();
  cluster.Advance(seconds{ 2 });
  BOOST_TEST(cluster.At(8).keeper.Generation() == 7U);
}

BOOST_AUTO_TEST_CASE(a_daemon_with_a_known_generation_gets_patches_only)
{
  FakeCluster cluster(3);
  cluster.StartAll(2);
  for (std::uint64_t generation = 1; generation <= 4; ++generation) {
    cluster.At(0).keeper.Offer(ConfigurationOf(generation, generation), "store");
    cluster.Advance(seconds{ 1 });
  }
  BOOST_TEST(cluster.At(1).keeper.Generation() == 4U);
  BOOST_TEST(CounterOf(cluster.At(0), "whole") == 1.0);
  BOOST_TEST(CounterOf(cluster.At(0), "changes") == 3.0);
  BOOST_TEST(cluster.At(1).keeper.InForce()->declaration.indexes[0].services.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_daemon_with_another_history_gets_the_whole_document)
{
  FakeCluster cluster(4);
  cluster.StartAll(2);
  cluster.At(0).keeper.Offer(ConfigurationOf(1, 5), "store");
  cluster.Advance(seconds{ 1 });
  cluster.network.isCut = [](const std::string&, const std::string&) { return true; };
  cluster.At(0).keeper.Offer(ConfigurationOf(2, 6), "store");
  // The other document of generation 2 is different, so patches from it don't apply.
  cluster.At(1).keeper.Offer(ConfigurationOf(2, 2), "store");
  cluster.network.isCut = nullptr;
  cluster.At(0).keeper.Offer(ConfigurationOf(3, 7), "store");
  cluster.Advance(seconds{ 2 });
  BOOST_TEST(cluster.At(1).keeper.Generation() == 3U);
  BOOST_TEST(cluster.At(1).keeper.InForce()->declaration.indexes[0].services.size() == 7U);
}

BOOST_AUTO_TEST_CASE(a_few_daemons_of_each_domain_watch_the_store_and_others_step_in)
{
  FakeCluster cluster(5);
  cluster.StartAll(32);
  std::vector<std::size_t> watchers;
  for (std::size_t n = 0; n < 32; ++n) {
    if (IsStoreWatcher(cluster.At(n).service.Table())) {
      watchers.push_back(n);
    }
  }
  BOOST_TEST(watchers.size() == 3 * kStoreWatchersPerDomain);
  for (const std::size_t n : watchers) {
    cluster.Kill(n);
  }
  cluster.Advance(seconds{ 2 });
  std::size_t others = 0;
  for (const auto& [n, daemon] : cluster.daemons) {
    others += IsStoreWatcher(daemon->service.Table()) ? 1 : 0;
  }
  BOOST_TEST(others == 3 * kStoreWatchersPerDomain);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
