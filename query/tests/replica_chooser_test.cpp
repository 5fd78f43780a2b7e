#include "query/replica_chooser.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace skylarkwing::query::test {

namespace {

constexpr int kDraws = 1000;

IndexView
TwoReplicas()
{
  IndexView view;
  for (const std::string name : { "a", "b" }) {
    IndexReplica replica;
    replica.replica = name;
    replica.failureDomain = name == "a" ? "Ikeja" : "Nassarawa";
    replica.state = upstream::ReplicaState::Warm;
    replica.allowance = 3;
    replica.medianMicroseconds = 5000;
    view.replicas.push_back(replica);
  }
  return view;
}

std::map<std::string, int>
Draw(ReplicaChooser& aChooser, const IndexView& aView, AttemptKind aKind)
{
  std::map<std::string, int> drawn;
  for (int n = 0; n < kDraws; ++n) {
    const IndexReplica* replica = aChooser.Choose(aView, { 0, 1 }, {}, aKind);
    ++drawn[replica == nullptr ? "none" : replica->replica];
  }
  return drawn;
}

struct ChooserFixture
{
  core::RandomSource random{ 9 };
  ReplicaChooser chooser{ random, "Ikeja", nullptr };
  IndexView view = TwoReplicas();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_chooser, ChooserFixture)

BOOST_AUTO_TEST_CASE(prefers_its_own_failure_domain_at_similar_cost)
{
  BOOST_TEST(Draw(chooser, view, AttemptKind::First)["a"] == kDraws);
}

BOOST_AUTO_TEST_CASE(prefers_the_replica_with_less_work_and_shorter_latency)
{
  view.replicas[0].inFlight = 2;
  BOOST_TEST(Draw(chooser, view, AttemptKind::First)["b"] == kDraws);
  view = TwoReplicas();
  view.replicas[0].medianMicroseconds = 9000;
  BOOST_TEST(Draw(chooser, view, AttemptKind::First)["b"] == kDraws);
}

BOOST_AUTO_TEST_CASE(counts_its_own_parts_before_the_owner_reports_them)
{
  chooser.RecordSent("a");
  chooser.RecordSent("a");
  BOOST_TEST(Draw(chooser, view, AttemptKind::First)["b"] == kDraws);
  chooser.RecordEnded("a");
  chooser.RecordEnded("a");
  BOOST_TEST(Draw(chooser, view, AttemptKind::First)["a"] == kDraws);
}

BOOST_AUTO_TEST_CASE(gives_a_small_share_to_replicas_that_must_warm_up)
{
  for (const auto state : { upstream::ReplicaState::Cold, upstream::ReplicaState::Unknown }) {
    view.replicas[0].state = state;
    view.replicas[0].allowance = 1;
    auto drawn = Draw(chooser, view, AttemptKind::First);
    BOOST_TEST(drawn["a"] > 0);
    BOOST_TEST(drawn["a"] < kDraws / 10);
    BOOST_TEST(Draw(chooser, view, AttemptKind::Retry)["a"] == 0);
    view.replicas[0].inFlight = 1;
    BOOST_TEST(Draw(chooser, view, AttemptKind::First)["a"] == 0);
    view.replicas[0].inFlight = 0;
  }
}

BOOST_AUTO_TEST_CASE(hedges_only_on_replicas_with_free_capacity)
{
  view.replicas[0].state = upstream::ReplicaState::Unknown;
  view.replicas[0].allowance = 1;
  view.replicas[1].inFlight = 5;
  BOOST_TEST(Draw(chooser, view, AttemptKind::Hedge)["b"] == kDraws);
  view.replicas[1].inFlight = 6;
  BOOST_TEST(Draw(chooser, view, AttemptKind::Hedge)["a"] == kDraws);
  view.replicas[0].inFlight = 1;
  BOOST_TEST(Draw(chooser, view, AttemptKind::Hedge)["none"] == kDraws);
  BOOST_TEST(Draw(chooser, view, AttemptKind::First)["none"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
