#include "core/random_source.h"
#include "upstream/replica_choice.h"
#include "upstream/replica_speed.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;

const core::TimePoint kStart{ std::chrono::seconds{ 1000 } };
constexpr core::Duration kRoundTrip = milliseconds{ 2 };
constexpr core::Duration kWork = milliseconds{ 20 };

ReplicaCandidate
MakeCandidate(double aFactor, Proximity aProximity = Proximity::OwnDomain)
{
  ReplicaCandidate candidate;
  candidate.serviceTime = std::chrono::duration_cast<core::Duration>(kWork * aFactor);
  candidate.typicalTime = kRoundTrip + candidate.serviceTime;
  candidate.slots = 4;
  candidate.hasRoom = true;
  candidate.reportsSpeed = true;
  candidate.proximity = aProximity;
  return candidate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_speed)

// Guards against a figure that is trusted long after the speed has changed.
BOOST_AUTO_TEST_CASE(a_figure_counts_less_with_age)
{
  ReplicaSpeed speed;
  BOOST_TEST(speed.FactorAt(kStart) == 1.0);
  speed.Record(3.0, kStart);
  BOOST_TEST(std::abs(speed.FactorAt(kStart) - 3.0) < 1e-9);
  // Half of its logarithm is the usual variation, which is soon forgotten.
  BOOST_TEST(speed.FactorAt(kStart + milliseconds{ 200 }) < 2.0);
  BOOST_TEST(speed.FactorAt(kStart + milliseconds{ 200 }) > 1.8);
  BOOST_TEST(speed.FactorAt(kStart + std::chrono::seconds{ 2 }) < 1.3);
  speed.Record(0.6, kStart + std::chrono::seconds{ 2 });
  BOOST_TEST(speed.FactorAt(kStart + std::chrono::seconds{ 2 }) == 1.0);
}

// Guards against a replica that is avoided because it is slow, and asked again as soon as its
// figure is old although nothing has shown it to be faster.
BOOST_AUTO_TEST_CASE(a_replica_that_was_far_slower_than_usual_stays_so_for_seconds)
{
  ReplicaSpeed speed;
  speed.Record(8.7, kStart);
  BOOST_TEST(speed.FactorAt(kStart + std::chrono::seconds{ 1 }) > 2.5);
  BOOST_TEST(speed.FactorAt(kStart + std::chrono::seconds{ 15 }) < 1.05);
}

BOOST_AUTO_TEST_CASE(absurd_figures_change_nothing)
{
  ReplicaSpeed speed;
  const double infinity = std::numeric_limits<double>::infinity();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double factor : { 0.0, -1.0, 0.09, 100.1, infinity, nan }) {
    speed.Record(factor, kStart);
    BOOST_TEST(!speed.IsReported());
  }
  speed.Record(2.0, kStart);
  speed.Record(nan, kStart);
  speed.Record(std::nullopt, kStart);
  BOOST_TEST(std::abs(speed.FactorAt(kStart) - 2.0) < 1e-9);
}

// Guards against a replica that is slow for long and looks usual as soon as its figure is old: such
// replicas got requests again and again.
BOOST_AUTO_TEST_CASE(a_figure_counts_against_those_of_the_averaged_times)
{
  ReplicaSpeed speed;
  speed.Record(8.7, kStart);
  BOOST_TEST(speed.FactorAt(kStart) > 8.6);
  for (int n = 0; n < 60; ++n) {
    speed.RecordSample();
  }
  // The averaged times contain the slowdown by now.
  BOOST_TEST(speed.FactorAt(kStart) < 1.01);
  speed.Record(1.0, kStart);
  BOOST_TEST(speed.FactorAt(kStart) == 1.0);
}

// Guards against a herd: 60 daemons that have all just seen the same fast replica.
BOOST_AUTO_TEST_CASE(daemons_that_see_the_same_fast_replica_spread_their_requests)
{
  constexpr int kDaemons = 60;
  constexpr int kRequests = 20;
  ReplicaSpeed fast;
  fast.Record(0.6, kStart);
  const std::vector<ReplicaCandidate> replicas{ MakeCandidate(1.0),
                                                MakeCandidate(fast.FactorAt(kStart)),
                                                MakeCandidate(1.0) };
  std::vector<int> received(replicas.size());
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    core::RandomSource random(static_cast<std::uint64_t>(daemon));
    for (int n = 0; n < kRequests; ++n) {
      const auto best = ChooseReplica(replicas, random.Below(3));
      ++received.at(DrawByWeight(ShareAmongBest(replicas, best.value()), random.Fraction()));
    }
  }
  // It can do 1.7 times as much as each other one, so at most 0.46 of all.
  BOOST_TEST(received[1] < kDaemons * kRequests * 46 / 100);
  BOOST_TEST(std::min(received[0], received[2]) > kDaemons * kRequests / 4);
}

BOOST_AUTO_TEST_CASE(slow_busy_failing_and_distant_replicas_do_not_share)
{
  std::vector<ReplicaCandidate> replicas(6, MakeCandidate(1.0));
  replicas[1] = MakeCandidate(3.0);
  replicas[2].waiting = 12;
  replicas[3].failureRate = 0.2;
  replicas[4].hasRoom = false;
  replicas[5].proximity = Proximity::OwnRegion;
  BOOST_TEST(ShareAmongBest(replicas, 0).empty());
  // From a farther replica, nearer ones may share.
  replicas[0].proximity = Proximity::OtherRegion;
  const std::vector<double> weights = ShareAmongBest(replicas, 0);
  BOOST_TEST_REQUIRE(weights.size() == replicas.size());
  BOOST_TEST(weights[5] > 0.0);
  BOOST_TEST(weights[1] + weights[2] + weights[3] + weights[4] == 0.0);
}

// Guards against another choice for services whose replicas report no figure.
BOOST_AUTO_TEST_CASE(replicas_without_a_figure_do_not_share)
{
  std::vector<ReplicaCandidate> replicas(3, MakeCandidate(1.0));
  for (ReplicaCandidate& replica : replicas) {
    replica.reportsSpeed = false;
  }
  BOOST_TEST(ShareAmongBest(replicas, 0).empty());
  replicas[1].reportsSpeed = true;
  BOOST_TEST(ShareAmongBest(replicas, 0).empty());
  BOOST_TEST(ShareAmongBest(replicas, 1).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
