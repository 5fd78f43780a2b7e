#include "membership/tests/fake_cluster.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ctime>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Limit on a daemon's control traffic, sent and received together. */
constexpr double kControlBytesPerSecond = 25.0 * 1024;

std::uint64_t
ReceivedBytes(FakeCluster& aCluster)
{
  std::uint64_t bytes = 0;
  for (const auto& [n, daemon] : aCluster.daemons) {
    bytes += daemon->bus.receivedBytes;
  }
  return bytes;
}

/** @return the time until a condition holds, at most a minute. */
milliseconds
TimeUntil(FakeCluster& aCluster, const std::function<bool()>& aCondition)
{
  milliseconds passed{ 0 };
  while (!aCondition() && passed < seconds{ 60 }) {
    aCluster.Advance(milliseconds{ 20 });
    passed += milliseconds{ 20 };
  }
  return passed;
}

struct Costs
{
  double messagesPerSecond = 0.0;
  double bytesPerSecond = 0.0;
  double cpuMicrosecondsPerSecond = 0.0;
  milliseconds takeover{};
  milliseconds fact{};
  milliseconds configuration{};
};

Costs
Measure(std::size_t aCount)
{
  FakeCluster cluster(aCount);
  cluster.StartAll(aCount);
  cluster.Advance(seconds{ 15 });
  Costs costs;
  const double daemons = static_cast<double>(aCount);
  constexpr double kMeasuredSeconds = 10.0;
  const std::uint64_t messages = cluster.network.messages;
  const std::uint64_t bytes = cluster.network.bytes + ReceivedBytes(cluster);
  const std::clock_t started = std::clock();
  cluster.Advance(seconds{ 10 });
  const double cpu = 1e6 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  costs.messagesPerSecond =
    static_cast<double>(cluster.network.messages - messages) / kMeasuredSeconds / daemons;
  costs.bytesPerSecond =
    static_cast<double>(cluster.network.bytes + ReceivedBytes(cluster) - bytes) / kMeasuredSeconds /
    daemons;
  costs.cpuMicrosecondsPerSecond = cpu / kMeasuredSeconds / daemons;

  cluster.Kill(1);
  costs.takeover = TimeUntil(cluster, [&cluster, aCount] {
    return cluster.CountWithState(VmOf(1), MemberState::Gone) == aCount - 1;
  });
  cluster.At(0).ownFacts = { { { "replica", "r-1" }, { "state", 1 } } };
  costs.fact = TimeUntil(cluster, [&cluster] {
    std::size_t n = 0;
    for (const auto& [number, daemon] : cluster.daemons) {
      n += daemon->facts.count("r-1");
    }
    return n == cluster.daemons.size() - 1;
  });
  cluster.At(0).keeper.Offer(ConfigurationOf(1), "store");
  costs.configuration = TimeUntil(cluster, [&cluster] {
    std::size_t n = 0;
    for (const auto& [number, daemon] : cluster.daemons) {
      n += daemon->keeper.Generation() == 1 ? 1 : 0;
    }
    return n == cluster.daemons.size();
  });
  return costs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slope)

BOOST_AUTO_TEST_CASE(traffic_of_a_daemon_is_bounded_as_the_fleet_grows)
{
  for (const std::size_t count : { 2U, 4U, 8U, 16U, 32U, 128U }) {
    const Costs costs = Measure(count);
    BOOST_TEST_MESSAGE(
      count << " daemons: " << costs.messagesPerSecond << " messages/s, " << costs.bytesPerSecond
            << " B/s sent and received, " << costs.cpuMicrosecondsPerSecond
            << " us/s of processor; gone everywhere after " << costs.takeover.count()
            << " ms, fact everywhere after " << costs.fact.count() << " ms, configuration after "
            << costs.configuration.count() << " ms");
    BOOST_TEST(costs.bytesPerSecond < kControlBytesPerSecond);
    BOOST_TEST((costs.takeover <= seconds{ 2 }));
    BOOST_TEST((costs.configuration <= seconds{ 2 }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
