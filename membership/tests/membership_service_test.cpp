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
    BOOST_TEST(cluster.CountHolding(VmOf(n), MemberState::Alive) == 7U);
    BOOST_TEST(cluster.At(n).service.Owners().size() == 8U);
  }
}

BOOST_AUTO_TEST_CASE(a_crashed_daemon_is_gone_everywhere_within_two_seconds)
{
  for (const std::size_t count : { 2U, 8U, 32U }) {
    FakeCluster cluster(count);
    cluster.StartAll(count);
    cluster.Kill(1);
    cluster.Advance(seconds{ 2 });
    BOOST_TEST(cluster.CountHolding(VmOf(1), MemberState::Gone) == count - 1);
    BOOST_TEST(cluster.At(0).service.Owners().size() == count - 1);
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

BOOST_AUTO_TEST_CASE(a_leaving_daemon_owns_nothing_and_is_known_to_leave)
{
  FakeCluster cluster(3);
  cluster.StartAll(8);
  cluster.At(2).service.AnnounceLeaving();
  cluster.Advance(milliseconds{ 100 });
  BOOST_TEST(cluster.CountHolding(VmOf(2), MemberState::Leaving) == 7U);
  BOOST_TEST(cluster.At(0).service.Owners().size() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
