#include "query/tests/replica_simulation.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time after the first naming from which a limit binds, and the span in which it is checked. */
constexpr core::Duration kBindsAfter = seconds{ 4 };
constexpr core::Duration kSpan = seconds{ 4 };

/** @return the most requests that a replica may get in a span, by the rule on limits. */
std::size_t
MostAllowed(double aMaxRate)
{
  return static_cast<std::size_t>(1.5 * aMaxRate * 4.0 + 5.0);
}

SimulatedReplica
SteadyReplica()
{
  SimulatedReplica model;
  model.work = milliseconds{ 7 };
  model.slots = 6;
  return model;
}

void
SetLimits(ReplicaSimulation& aFleet, std::optional<double> aMaxRate)
{
  for (auto& [id, replica] : aFleet.replicas) {
    replica.maxRate = aMaxRate;
  }
}

void
CheckLimits(const ReplicaSimulation& aFleet, core::TimePoint aFrom, double aMaxRate)
{
  for (const auto& [id, replica] : aFleet.replicas) {
    const std::size_t most = MostInSpan(replica.informedArrivals, aFrom, kSpan);
    BOOST_TEST(most <= MostAllowed(aMaxRate), id << ": " << most);
  }
}

/** Lets each daemon see only itself, as after an outage of the store in which entries expire. */
void
ShrinkListsToOneself(ReplicaSimulation& aFleet)
{
  for (std::size_t n = 0; n <= aFleet.others.size(); ++n) {
    upstream::FleetWeights alone;
    alone.Add({ "vm" + std::to_string(n), "near", 1.0 });
    aFleet.Daemon(n).SetFleetWeights(std::move(alone));
  }
}

/** Checks that the replicas of a service get no more than allowed once they name a limit. */
void
CheckLimitUnderLoad(ReplicaSimulation& aFleet, double aPerSecond, double aMaxRate)
{
  aFleet.AddService(0, SteadyReplica());
  const declaration::Route route = ReplicaSimulation::MakeRoute(1, 1, milliseconds{ 250 });
  aFleet.RunLoad(route, aPerSecond, seconds{ 4 });
  SetLimits(aFleet, aMaxRate);
  const core::TimePoint start = aFleet.loop.timers.Now();
  aFleet.RunLoad(route, aPerSecond, seconds{ 20 });
  CheckLimits(aFleet, start + kBindsAfter, aMaxRate);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_limits, ReplicaSimulation)

BOOST_AUTO_TEST_CASE(seven_daemons_exceed_the_limit_that_a_replica_names_for_all_of_them)
{
  AddDaemons(7);
  CheckLimitUnderLoad(*this, 180.0, 30.0);
}

BOOST_AUTO_TEST_CASE(hundreds_of_daemons_exceed_the_limit_that_a_replica_names_for_all_of_them)
{
  AddDaemons(295);
  CheckLimitUnderLoad(*this, 96.0, 16.0);
}

BOOST_AUTO_TEST_CASE(all_daemons_take_more_when_the_list_of_daemons_shrinks_in_an_outage)
{
  AddDaemons(7);
  AddService(0, SteadyReplica());
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  RunLoad(route, 180.0, seconds{ 2 });
  SetLimits(*this, 30.0);
  const core::TimePoint start = loop.timers.Now();
  RunLoad(route, 180.0, seconds{ 6 });
  ShrinkListsToOneself(*this);
  RunLoad(route, 180.0, seconds{ 2 });
  AddDaemons(7);
  RunLoad(route, 180.0, seconds{ 6 });
  CheckLimits(*this, start + kBindsAfter, 30.0);
}

BOOST_AUTO_TEST_CASE(daemons_that_the_others_no_longer_count_keep_their_shares)
{
  constexpr std::size_t kListed = 4;
  AddDaemons(7);
  AddService(0, SteadyReplica());
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  SetLimits(*this, 30.0);
  RunLoad(route, 180.0, seconds{ 4 });
  // The store turns three daemons away, whose entries expire; they hear of it from the others.
  for (std::size_t n = 0; n < 7; ++n) {
    upstream::FleetWeights fleet = EqualWeights(kListed);
    if (n >= kListed) {
      fleet.AddUnlisted({ "vm" + std::to_string(n), "near", 1.0 });
    }
    Daemon(n).SetFleetWeights(std::move(fleet));
  }
  RunLoad(route, 180.0, seconds{ 8 });
  const core::TimePoint start = loop.timers.Now();
  for (std::size_t n = 0; n < 7; ++n) {
    Daemon(n).TakeLimitedUse();
  }
  RunLoad(route, 180.0, seconds{ 6 });
  CheckLimits(*this, start, 30.0);
  for (std::size_t n = kListed; n < 7; ++n) {
    BOOST_TEST(Daemon(n).TakeLimitedUse().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_limit_that_falls_and_rises_holds_and_its_end_is_noticed)
{
  AddDaemons(7);
  AddService(0, SteadyReplica());
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  SetLimits(*this, 40.0);
  RunLoad(route, 180.0, seconds{ 8 });
  SetLimits(*this, 10.0);
  const core::TimePoint fallen = loop.timers.Now();
  RunLoad(route, 180.0, seconds{ 10 });
  CheckLimits(*this, fallen + seconds{ 1 }, 10.0);
  SetLimits(*this, std::nullopt);
  RunLoad(route, 180.0, seconds{ 4 });
  const LoadOutcome after = RunLoad(route, 180.0, seconds{ 4 });
  BOOST_TEST(after.inTime >= after.requests * 95 / 100);
}

BOOST_AUTO_TEST_CASE(callers_wait_for_replicas_that_limit_their_rate_or_the_limit_is_not_used)
{
  AddDaemons(7);
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, SteadyReplica());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  RunLoad(route, 180.0, seconds{ 2 });
  // Three replicas of each shard accept 90 requests a second of 180.
  SetLimits(*this, 30.0);
  RunLoad(route, 180.0, seconds{ 5 });
  const core::TimePoint start = loop.timers.Now();
  const LoadOutcome outcome = RunLoad(route, 180.0, seconds{ 10 });
  CheckLimits(*this, start, 30.0);
  // Half of the queries can be answered; an answer needs nine shards of ten.
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.requests * 9 / 20);
  BOOST_TEST(outcome.inTime >= outcome.requests * 9 / 20);
  BOOST_TEST(outcome.failed * 100 <= outcome.requests);
  BOOST_TEST(outcome.notRun + outcome.failed + outcome.complete + outcome.partial ==
             outcome.requests);
  BOOST_TEST((outcome.longestRefusalTime <= route.objective));
  BOOST_TEST_REQUIRE(!outcome.retryDelays.empty());
  const auto [shortest, longest] =
    std::minmax_element(outcome.retryDelays.begin(), outcome.retryDelays.end());
  BOOST_TEST((*shortest >= milliseconds{ 100 }));
  BOOST_TEST((*longest <= seconds{ 2 }));
}

BOOST_AUTO_TEST_CASE(requests_wait_until_their_deadline_for_the_only_replica_without_a_limit)
{
  AddDaemons(7);
  SimulatedReplica slow = SteadyReplica();
  slow.slots = 1;
  slow.work = milliseconds{ 40 };
  AddService(0, slow);
  table->AddService({ "s0", 7, {}, 0.0 });
  replicas.at("s0-near").maxRate = 10.0;
  replicas.at("s0-far").maxRate = 10.0;
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 600 });
  RunLoad(route, 100.0, seconds{ 8 });
  const LoadOutcome outcome = RunLoad(route, 100.0, seconds{ 10 });
  BOOST_TEST((outcome.longestRefusalTime <= route.objective));
  BOOST_TEST(outcome.failed == 0U);
  // Two replicas accept 20 requests a second, the third one finishes about as many.
  BOOST_TEST(outcome.inTime >= outcome.requests * 3 / 10);
}

BOOST_AUTO_TEST_CASE(hedges_take_the_share_of_requests_that_have_no_other_replica)
{
  AddDaemons(7);
  SimulatedReplica pausing = SteadyReplica();
  pausing.pauseEvery = milliseconds{ 4500 };
  pausing.pause = milliseconds{ 200 };
  AddService(0, pausing);
  replicas.at("s0-far").maxRate = 5.0;
  replicas.at("s0-farther").maxRate = 5.0;
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  RunLoad(route, 60.0, seconds{ 20 });
  std::uint32_t extra = 0;
  for (std::size_t n = 0; n < 7; ++n) {
    for (const upstream::LimitedUseReport& report : Daemon(n).TakeLimitedUse()) {
      extra += report.use.extra;
    }
  }
  BOOST_TEST(extra == 0U);
}

BOOST_AUTO_TEST_CASE(daemons_without_a_share_never_learn_that_a_limit_has_ended)
{
  constexpr std::size_t kDaemons = 60;
  AddDaemons(kDaemons);
  AddService(0, SteadyReplica());
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 250 });
  SetLimits(*this, 8.0);
  RunLoad(route, 120.0, seconds{ 8 });
  const auto countWaiting = [this] {
    std::size_t n = 0;
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      n += Daemon(daemon).DaemonWithShare() ? 1 : 0;
    }
    return n;
  };
  BOOST_TEST(countWaiting() >= kDaemons / 2);
  SetLimits(*this, std::nullopt);
  RunLoad(route, 120.0, seconds{ 2 });
  for (std::size_t poll = 0; poll < 4; ++poll) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (const auto vm = Daemon(daemon).DaemonWithShare()) {
        for (const auto& ended : Daemon(std::stoul(vm->substr(2))).EndedRateLimits()) {
          Daemon(daemon).ApplyEndedRateLimit(ended);
        }
      }
    }
    RunLoad(route, 120.0, seconds{ 1 });
  }
  BOOST_TEST(countWaiting() == 0U);
  const LoadOutcome outcome = RunLoad(route, 120.0, seconds{ 4 });
  BOOST_TEST(outcome.inTime >= outcome.requests * 95 / 100);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_not_read_the_others_takes_the_whole_limit)
{
  AddDaemons(1);
  AddService(0, SteadyReplica());
  upstream::FleetWeights unread = EqualWeights(1);
  unread.isComplete = false;
  set->SetFleetWeights(unread);
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  SetLimits(*this, 10.0);
  RunLoad(route, 40.0, seconds{ 1 });
  const core::TimePoint start = loop.timers.Now();
  const LoadOutcome outcome = RunLoad(route, 40.0, seconds{ 4 });
  BOOST_TEST(outcome.notRun == outcome.requests);
  // Another daemon may serve the caller, however long this one has no share.
  BOOST_TEST_REQUIRE(!outcome.retryDelays.empty());
  BOOST_TEST(
    (*std::max_element(outcome.retryDelays.begin(), outcome.retryDelays.end()) <= seconds{ 1 }));
  for (const auto& [id, replica] : replicas) {
    BOOST_TEST(MostInSpan(replica.arrivalTimes, start, kSpan) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(extra_attempts_exceed_the_fleets_budget_when_the_list_of_daemons_shrinks)
{
  AddDaemons(7);
  AddService(0, SteadyReplica());
  loop.Run(seconds{ 12 });
  ShrinkListsToOneself(*this);
  std::size_t extra = 0;
  for (std::size_t n = 0; n < 7; ++n) {
    while (Daemon(n).TryTakeExtraAttempt("s0", upstream::ExtraAttempt::Retry)) {
      ++extra;
    }
  }
  // Without any requests the budget of the fleet is its slack in 10 s.
  BOOST_TEST(extra <= 54U);
}

BOOST_AUTO_TEST_CASE(a_cold_replica_gets_more_than_it_can_bear_when_the_list_of_daemons_shrinks)
{
  AddDaemons(7);
  AddService(0, SteadyReplica());
  constexpr double kColdRate = 4.0;
  table->AddService({ "s0", 26, seconds{ 20 }, kColdRate });
  for (std::size_t n = 0; n < 7; ++n) {
    for (const char* id : { "s0-near", "s0-far", "s0-farther" }) {
      upstream::AnnouncedReplica replica;
      replica.id = id;
      replica.service = "s0";
      replica.address = id;
      replica.failureDomain = std::string(id).substr(3);
      replica.slots = 6;
      replica.startedAt = 7;
      replica.coldRemaining = seconds{ 20 };
      Daemon(n).AddOrUpdate(replica);
    }
  }
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  loop.Run(seconds{ 2 });
  ShrinkListsToOneself(*this);
  const core::TimePoint start = loop.timers.Now();
  RunLoad(route, 180.0, seconds{ 3 });
  for (const auto& [id, replica] : replicas) {
    const std::size_t most = MostInSpan(replica.arrivalTimes, start, seconds{ 1 });
    BOOST_TEST(static_cast<double>(most) <= kColdRate * 1.5 + 5.0, id << ": " << most);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::tests
