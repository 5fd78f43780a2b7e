#include "core/random_source.h"
#include "upstream/domain_spillover.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SpilloverSettings kSettings{ milliseconds{ 3 }, milliseconds{ 15 }, 0.7 };
constexpr core::Duration kWork = milliseconds{ 20 };
constexpr core::Duration kStep = milliseconds{ 20 };

ReplicaCandidate
MakeCandidate(Proximity aProximity, double aFactor = 1.0)
{
  ReplicaCandidate candidate;
  candidate.serviceTime = std::chrono::duration_cast<core::Duration>(kWork * aFactor);
  candidate.typicalTime = candidate.serviceTime + milliseconds{ 2 };
  candidate.slots = 4;
  candidate.hasRoom = true;
  candidate.reportsSpeed = true;
  candidate.isMeasured = true;
  candidate.proximity = aProximity;
  return candidate;
}

/**
 * Eight daemons of one domain beside another domain of the region; each domain's replicas answer in
 * a time that grows with their use.
 */
struct TwoDomains
{
  /** Demand of both domains, and capacity of their replicas, in requests that run at once. */
  double demand = 4.0;
  double otherDemand = 0.0;
  double capacity = 10.0;
  double otherCapacity = 10.0;
  core::TimePoint now{ seconds{ 1000 } };
  core::RandomSource random{ 11 };
  std::vector<DomainSpillover> daemons = std::vector<DomainSpillover>(8);
  DomainSpillover& spillover = daemons.front();
  /** Least and greatest share of the requests that left. */
  double leastLeaving = 0.0;
  double mostLeaving = 0.0;
  /** Greatest use of the other domain's replicas. */
  double mostOtherUse = 0.0;
  /** Average expected time of the requests. */
  double averageMs = 0.0;
  /** The share of the requests that leaves at each step, delayed by the answers. */
  double leaving = 0.0;

  ReplicaCandidate CandidateAt(Proximity aProximity, double aUse)
  {
    constexpr double kMaxQueue = 10.0;
    const double queue =
      aUse < 1.0 ? std::min(kMaxQueue, std::pow(aUse, 8.0) / (1.0 - aUse)) : kMaxQueue;
    // The speed changes from request to request.
    ReplicaCandidate candidate = MakeCandidate(aProximity, (1.0 + queue) * random.Jitter(1.0, 0.4));
    candidate.use = aUse;
    return candidate;
  }

  void Run(core::Duration aSpan)
  {
    leastLeaving = 1.0;
    mostLeaving = mostOtherUse = averageMs = 0.0;
    const auto steps = aSpan / kStep;
    for (auto n = steps; n > 0; --n) {
      now += kStep;
      const double use = demand * (1.0 - leaving) / capacity;
      const double otherUse = (otherDemand + demand * leaving) / otherCapacity;
      double left = 0.0;
      for (DomainSpillover& daemon : daemons) {
        std::vector<ReplicaCandidate> replicas{ CandidateAt(Proximity::OwnDomain, use),
                                                CandidateAt(Proximity::OwnRegion, otherUse) };
        daemon.Apply(replicas, kSettings, random.Fraction(), now);
        const auto chosen = ChooseReplica(replicas, 0).value();
        const std::chrono::duration<double, std::milli> time = ExpectedTime(replicas[chosen]);
        averageMs += time.count() / static_cast<double>(steps * daemons.size());
        left += static_cast<double>(chosen) / static_cast<double>(daemons.size());
      }
      // The answers of the last 200 ms show the effect of a change.
      leaving += (left - leaving) * 0.1;
      leastLeaving = std::min(leastLeaving, leaving);
      mostLeaving = std::max(mostLeaving, leaving);
      mostOtherUse = std::max(mostOtherUse, otherUse);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(domain_spillover, TwoDomains)

BOOST_AUTO_TEST_CASE(requests_stay_while_the_own_domain_suffices)
{
  Run(seconds{ 30 });
  BOOST_TEST(spillover.Share() == 0.0);
  BOOST_TEST(mostOtherUse == 0.0);
  BOOST_TEST(!spillover.TakeChange().has_value());
}

// Guards against requests that queue beside an idle domain, and against a share that flaps.
BOOST_AUTO_TEST_CASE(excess_demand_goes_to_an_idle_domain_and_the_share_is_steady)
{
  demand = 14.0;
  Run(seconds{ 5 });
  BOOST_TEST(spillover.TakeChange().value().isLeaving);
  Run(seconds{ 60 });
  BOOST_TEST_MESSAGE("leaving " << leastLeaving << " to " << mostLeaving << ", other use "
                                << mostOtherUse << ", " << averageMs << " ms");
  BOOST_TEST(leastLeaving > 0.2);
  BOOST_TEST(mostLeaving < 0.8);
  BOOST_TEST(mostLeaving - leastLeaving < 0.2);
  BOOST_TEST(averageMs < 50.0);
  BOOST_TEST(!spillover.TakeChange().has_value());
}

// Guards against a domain whose own callers are displaced.
BOOST_AUTO_TEST_CASE(a_busy_domain_gets_little_more)
{
  demand = 14.0;
  for (const double other : { 6.0, 8.0 }) {
    otherDemand = other;
    Run(seconds{ 1 });
    Run(seconds{ 60 });
    BOOST_TEST_MESSAGE("leaving " << leastLeaving << " to " << mostLeaving << ", other use "
                                  << mostOtherUse);
    BOOST_TEST(mostOtherUse < std::max(0.85, other / otherCapacity + 0.05));
  }
}

BOOST_AUTO_TEST_CASE(requests_return_when_the_demand_falls)
{
  demand = 16.0;
  Run(seconds{ 20 });
  BOOST_TEST(spillover.Share() > 0.2);
  spillover.TakeChange();
  demand = 4.0;
  Run(seconds{ 8 });
  BOOST_TEST(spillover.Share() == 0.0);
  BOOST_TEST(!spillover.TakeChange().value().isLeaving);
}

BOOST_AUTO_TEST_CASE(requests_leave_when_replicas_of_the_own_domain_are_lost)
{
  demand = 6.0;
  Run(seconds{ 10 });
  BOOST_TEST(spillover.Share() == 0.0);
  capacity = 5.0;
  Run(seconds{ 3 });
  BOOST_TEST(spillover.Share() > 0.2);
  capacity = 10.0;
  Run(seconds{ 10 });
  BOOST_TEST(spillover.Share() == 0.0);
}

// Guards against a share of a minute ago that sends the first requests of a burst away.
BOOST_AUTO_TEST_CASE(the_share_falls_while_there_are_no_requests)
{
  demand = 16.0;
  Run(seconds{ 20 });
  now += seconds{ 10 };
  demand = 1.0;
  Run(kStep);
  BOOST_TEST(spillover.Share() == 0.0);
}

// Guards against a pause of the only own replica that is taken for a lack of capacity, and against
// requests that wait for it.
BOOST_AUTO_TEST_CASE(without_an_answering_replica_in_the_domain_the_price_only_orders)
{
  std::vector<ReplicaCandidate> replicas{ MakeCandidate(Proximity::OwnDomain),
                                          MakeCandidate(Proximity::OtherRegion, 0.5),
                                          MakeCandidate(Proximity::OwnRegion) };
  replicas[0].stalledFor = milliseconds{ 150 };
  replicas[2].use = 0.9;
  for (int n = 0; n < 100; ++n) {
    now += kStep;
    BOOST_TEST_REQUIRE(!spillover.Apply(replicas, kSettings, 0.99, now));
    // 27 ms with the price beside 25 ms.
    BOOST_TEST_REQUIRE(ChooseReplica(replicas, 0).value() == 2U);
  }
  BOOST_TEST(spillover.Share() == 0.0);
}

// Guards against spillover to a replica of which only the assumed time of 10 ms is known.
BOOST_AUTO_TEST_CASE(replicas_without_measured_times_are_assumed_to_be_as_slow_as_others)
{
  std::vector<ReplicaCandidate> replicas{ MakeCandidate(Proximity::OwnDomain, 8.0),
                                          MakeCandidate(Proximity::OwnRegion, 0.5) };
  replicas[1].isMeasured = false;
  for (int n = 0; n < 500; ++n) {
    now += kStep;
    std::vector<ReplicaCandidate> current = replicas;
    spillover.Apply(current, kSettings, 0.99, now);
  }
  BOOST_TEST(spillover.Share() == 0.0);
}

BOOST_AUTO_TEST_CASE(
  a_full_domain_lets_requests_leave_and_a_customer_without_choice_changes_nothing)
{
  std::vector<ReplicaCandidate> replicas{ MakeCandidate(Proximity::OwnDomain),
                                          MakeCandidate(Proximity::OwnRegion) };
  replicas[0].hasRoom = false;
  for (int n = 0; n < 100; ++n) {
    now += kStep;
    spillover.Apply(replicas, kSettings, 0.99, now);
    BOOST_TEST_REQUIRE(ChooseReplica(replicas, 0).value() == 1U);
  }
  const double share = spillover.Share();
  BOOST_TEST(share > 0.3);
  std::vector<ReplicaCandidate> ownOnly{ MakeCandidate(Proximity::OwnDomain) };
  now += kStep;
  spillover.Apply(ownOnly, kSettings, 0.0, now);
  BOOST_TEST(spillover.Share() == share);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
