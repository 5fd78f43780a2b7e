#include "membership/tests/fake_cluster.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ctime>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What a daemon may spend on control, sent and received together. */
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

/** @return how long it takes until a condition holds, or a minute. */
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

struct Spread
{
  double messagesPerSecond = 0.0;
  double bytesPerSecond = 0.0;
  double cpuMicrosecondsPerSecond = 0.0;
  milliseconds takeover{};
  milliseconds fact{};
  milliseconds configuration{};
};

Spread
Measure(std::size_t aCount)
{
  FakeCluster cluster(aCount);
  cluster.StartAll(aCount);
  cluster.Advance(seconds{ 15 });
  Spread spread;
  const double daemons = static_cast<double>(aCount);
  constexpr double kSpan = 10.0;
  const std::uint64_t messages = cluster.network.messages;
  const std::uint64_t bytes = cluster.network.bytes + ReceivedBytes(cluster);
  const std::clock_t started = std::clock();
  cluster.Advance(seconds{ 10 });
  const double cpu = 1e6 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  spread.messagesPerSecond =
    static_cast<double>(cluster.network.messages - messages) / kSpan / daemons;
  spread.bytesPerSecond =
    static_cast<double>(cluster.network.bytes + ReceivedBytes(cluster) - bytes) / kSpan / daemons;
  spread.cpuMicrosecondsPerSecond = cpu / kSpan / daemons;

  cluster.Kill(1);
  spread.takeover = TimeUntil(cluster, [&cluster, aCount] {
    return cluster.CountHolding(VmOf(1), MemberState::Gone) == aCount - 1;
  });
  cluster.At(0).ownFacts = { { { "replica", "r-1" }, { "state", 1 } } };
  spread.fact = TimeUntil(cluster, [&cluster] {
    std::size_t n = 0;
    for (const auto& [number, daemon] : cluster.daemons) {
      n += daemon->facts.count("r-1");
    }
    return n == cluster.daemons.size() - 1;
  });
  cluster.At(0).keeper.Offer(ConfigurationOf(1), "store");
  spread.configuration = TimeUntil(cluster, [&cluster] {
    std::size_t n = 0;
    for (const auto& [number, daemon] : cluster.daemons) {
      n += daemon->keeper.Generation() == 1 ? 1 : 0;
    }
    return n == cluster.daemons.size();
  });
  return spread;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slope)

BOOST_AUTO_TEST_CASE(what_a_daemon_spends_is_bounded_as_the_fleet_grows)
{
  for (const std::size_t count : { 2U, 4U, 8U, 16U, 32U, 128U }) {
    const Spread spread = Measure(count);
    BOOST_TEST_MESSAGE(
      count << " daemons: " << spread.messagesPerSecond << " messages/s, " << spread.bytesPerSecond
            << " B/s sent and received, " << spread.cpuMicrosecondsPerSecond
            << " us/s of processor; gone everywhere after " << spread.takeover.count()
            << " ms, fact everywhere after " << spread.fact.count() << " ms, configuration after "
            << spread.configuration.count() << " ms");
    BOOST_TEST(spread.bytesPerSecond < kControlBytesPerSecond);
    BOOST_TEST((spread.takeover <= seconds{ 2 }));
    BOOST_TEST((spread.configuration <= seconds{ 2 }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
