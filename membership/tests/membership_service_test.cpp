#include "membership/tests/fake_cluster.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::membership::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_service)

BOOST_AUTO_TEST_CASE(eight_daemons_find_each_other)
{
  FakeCluster cluster(1);
  cluster.StartAll(8);
  for (std::size_t n = 0; n < 8; ++n) {
    BOOST_TEST(cluster.CountWithState(VmOf(n), MemberState::Alive) == 7U);
    BOOST_TEST(cluster.At(n).service.EligibleOwners().size() == 8U);
  }
}

BOOST_AUTO_TEST_CASE(a_crashed_daemon_is_gone_everywhere_within_two_seconds)
{
  for (const std::size_t count : { 2U, 8U, 32U }) {
    FakeCluster cluster(count);
    cluster.StartAll(count);
    cluster.Kill(1);
    cluster.Advance(seconds{ 2 });
    BOOST_TEST(cluster.CountWithState(VmOf(1), MemberState::Gone) == count - 1);
    BOOST_TEST(cluster.At(0).service.EligibleOwners().size() == count - 1);
  }
}

BOOST_AUTO_TEST_CASE(a_fact_reaches_eight_daemons_within_half_a_second)
{
  FakeCluster cluster(2);
  cluster.StartAll(8);
  cluster.At(3).ownFacts = { { { "replica", "r-1" }, { "state", 2 } } };
  cluster.Advance(milliseconds{ 500 });
  for (std::size_t n = 0; n < 8; ++n) {
    BOOST_TEST((n == 3 || cluster.At(n).facts["r-1"]["state"] == 2));
  }
}

BOOST_AUTO_TEST_CASE(an_urgent_fact_does_not_wait_for_constantly_changing_ones)
{
  FakeCluster cluster(4);
  cluster.StartAll(8);
  const auto factsOf = [](std::size_t aDaemon, int aState, int aLoad) {
    std::vector<nlohmann::json> facts;
    for (int n = 0; n < 11; ++n) {
      const std::string replica = "r-" + std::to_string(aDaemon) + "-" + std::to_string(n);
      facts.push_back({ { "replica", replica },
                        { "state", n == 5 ? aState : 0 },
                        { "load", aLoad },
                        { "filler", std::string(300, 'x') } });
    }
    return facts;
  };
  for (int round = 0; round < 300; ++round) {
    for (std::size_t n = 0; n < 8; ++n) {
      cluster.At(n).ownFacts = factsOf(n, 1 + round / 50, round);
    }
    cluster.Advance(milliseconds{ 100 });
    for (std::size_t n = 0; n < 8; ++n) {
      // Every daemon knows a changed state half a second later.
      const bool isDue = n != 2 && round % 50 >= 5;
      BOOST_TEST((!isDue || cluster.At(n).facts["r-2-5"]["state"] == 1 + round / 50));
    }
  }
  BOOST_TEST(cluster.At(0).facts["r-2-7"]["load"].get<int>() > 260);
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_may_own_nothing_and_is_known_as_leaving)
{
  FakeCluster cluster(3);
  cluster.StartAll(8);
  cluster.At(2).service.AnnounceLeaving();
  cluster.Advance(milliseconds{ 100 });
  BOOST_TEST(cluster.CountWithState(VmOf(2), MemberState::Leaving) == 7U);
  BOOST_TEST(cluster.At(0).service.EligibleOwners().size() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
