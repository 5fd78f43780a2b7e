#include "query/tests/replica_simulation.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <tuple>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SimulatedReplica
PausingReplica()
{
  SimulatedReplica model;
  model.work = milliseconds{ 7 };
  model.pauseEvery = milliseconds{ 4500 };
  model.pause = milliseconds{ 200 };
  return model;
}

/** @return the announcement of the nearest replica of a service. */
upstream::AnnouncedReplica
AnnounceNearest(const std::string& aService)
{
  upstream::AnnouncedReplica replica;
  replica.id = aService + "-near";
  replica.service = aService;
  replica.address = replica.id;
  replica.failureDomain = "near";
  replica.slots = 2;
  return replica;
}

/**
 * Adds a service of six near replicas whose work takes 0.6 to 3 times as long as usual, changing
 * every 250 ms at different times.
 */
void
AddUnevenReplicas(ReplicaSimulation& aSimulation, bool aReportsSlowdown)
{
  aSimulation.table->AddService({ "s0", 600, {}, 0.0 });
  for (std::size_t n = 0; n < 6; ++n) {
    SimulatedReplica model;
    model.roundTrip = milliseconds{ 1 };
    model.work = milliseconds{ 20 };
    model.slots = 4;
    model.reportsSlowdown = aReportsSlowdown;
    model.slowdown = [n](core::TimePoint aNow) {
      constexpr std::array<double, 5> kFactors{ 0.6, 1.0, 3.0, 0.8, 1.4 };
      const auto step = (aNow.time_since_epoch() + n * milliseconds{ 41 }) / milliseconds{ 250 };
      return kFactors.at((static_cast<std::size_t>(step) * (n + 1) + n) % kFactors.size());
    };
    upstream::AnnouncedReplica replica;
    replica.id = "s0-" + std::to_string(n);
    replica.service = "s0";
    replica.address = replica.id;
    replica.failureDomain = "near";
    replica.slots = 4;
    aSimulation.replicas.emplace(replica.id, model);
    for (std::size_t daemon = 0; daemon <= aSimulation.others.size(); ++daemon) {
      aSimulation.Daemon(daemon).AddOrUpdate(replica);
    }
  }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(forwarding_load, ReplicaSimulation)

// Guards against figures that are ignored, and against daemons that all send to the replica that
// looked fast a moment ago.
BOOST_AUTO_TEST_CASE(replicas_that_report_their_speed_answer_sooner_and_no_one_gets_all_requests)
{
  constexpr double kPerSecond = 360.0;
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 50 });
  std::array<std::size_t, 2> late{};
  for (const bool reports : { false, true }) {
    ReplicaSimulation simulation;
    simulation.AddDaemons(12);
    AddUnevenReplicas(simulation, reports);
    const LoadOutcome outcome = simulation.RunLoad(route, kPerSecond, seconds{ 20 });
    late.at(reports ? 1 : 0) = outcome.requests - outcome.inTime;
    for (const auto& [id, replica] : simulation.replicas) {
      // Of 72 requests in this time.
      const std::size_t most =
        MostInSpan(replica.arrivalTimes, core::TimePoint{}, milliseconds{ 200 });
      BOOST_TEST((!reports || most <= 48U));
    }
  }
  BOOST_TEST_MESSAGE("late without the figure " << late[0] << ", with it " << late[1]);
  BOOST_TEST(late[1] <= late[0] * 4 / 5);
}

// Guards against requests that leave the domain in calm times, and that queue there under load.
BOOST_AUTO_TEST_CASE(requests_leave_the_domain_under_load_only_and_not_without_the_figure)
{
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 150 });
  const upstream::SpilloverSettings spillover{ milliseconds{ 3 }, milliseconds{ 15 }, 0.7 };
  const auto run = [&route, &spillover](double aPerSecond, bool aReports, bool aHasSpillover) {
    ReplicaSimulation simulation;
    simulation.AddDaemons(12);
    SimulatedReplica model;
    model.work = milliseconds{ 20 };
    model.slots = 4;
    model.slowdown = [](core::TimePoint) { return 1.0; };
    model.reportsSlowdown = aReports;
    simulation.AddService(0, model);
    simulation.table->AddService({ "s0", 600, {}, 0.0 });
    for (std::size_t n = 0; aHasSpillover && n < 12; ++n) {
      simulation.Daemon(n).SetSpillover(spillover);
    }
    const LoadOutcome outcome = simulation.RunLoad(route, aPerSecond, seconds{ 20 });
    const std::uint32_t near = simulation.replicas.at("s0-near").arrivals;
    BOOST_TEST_MESSAGE(aPerSecond << "/s, figure " << aReports << ", spillover " << aHasSpillover
                                  << ": in time " << outcome.inTime << " of " << outcome.requests
                                  << ", near " << near << " of " << outcome.attempts);
    return std::make_tuple(outcome.inTime, outcome.attempts, near);
  };
  BOOST_TEST((run(300.0, false, true) == run(300.0, false, false)));
  run(100.0, true, false);
  run(300.0, true, false);
  const auto [calmInTime, calmAttempts, calmNear] = run(100.0, true, true);
  BOOST_TEST(calmNear >= calmAttempts * 95 / 100);
  const auto [inTime, attempts, near] = run(300.0, true, true);
  BOOST_TEST(inTime >= 300U * 20 * 95 / 100);
  BOOST_TEST(near >= attempts * 4 / 10);
}

// Guards against spillover to a domain that the operator has taken out, or outside the customer's
// regions.
BOOST_AUTO_TEST_CASE(requests_that_leave_the_domain_avoid_domains_that_are_out)
{
  AddDaemons(4);
  SimulatedReplica model;
  model.work = milliseconds{ 20 };
  model.slots = 4;
  model.slowdown = [](core::TimePoint) { return 1.0; };
  AddService(0, model);
  table->AddService({ "s0", 200, {}, 0.0 });
  for (std::size_t n = 0; n < 4; ++n) {
    Daemon(n).SetSpillover({ milliseconds{ 3 }, milliseconds{ 15 }, 0.7 });
    Daemon(n).SetDomainOut("far", true);
  }
  RunLoad(MakeRoute(1, 1, milliseconds{ 150 }), 300.0, seconds{ 5 });
  BOOST_TEST(replicas.at("s0-far").arrivals == 0U);
  BOOST_TEST(replicas.at("s0-farther").arrivals > 100U);
  upstream::RequestTerms terms;
  terms.regions = { "near" };
  upstream::AttemptRequest request;
  request.service = "s0";
  request.terms = &terms;
  request.deadline = loop.timers.Now() + seconds{ 1 };
  const std::uint32_t farther = replicas.at("s0-farther").arrivals;
  for (int n = 0; n < 200; ++n) {
    auto message = std::make_shared<upstream::ForwardedRequest>();
    message->id = "r" + std::to_string(n);
    set->Send(request, std::move(message), [](const upstream::AttemptResult&) {});
  }
  loop.Run(seconds{ 2 });
  BOOST_TEST(replicas.at("s0-farther").arrivals == farther);
}

BOOST_AUTO_TEST_CASE(answers_meet_the_objective_despite_replica_pauses)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingReplica());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 25.0, seconds{ 30 });
  BOOST_TEST(outcome.inTime >= outcome.requests * 97 / 100);
  BOOST_TEST(outcome.complete >= outcome.requests * 95 / 100);
  BOOST_TEST(outcome.failed == 0U);
  // Retry bound of the fleet: a fifth of the requests, plus 54 per 10 s.
  for (const auto& [id, replica] : replicas) {
    BOOST_TEST(replica.connections <= 26U * 5);
  }
  BOOST_TEST(static_cast<double>(outcome.attempts) <=
             static_cast<double>(outcome.requests) * 10 * 1.2 + 54 * 10 * 3);
}

BOOST_AUTO_TEST_CASE(two_overloaded_shards_do_not_delay_every_answer)
{
  for (std::size_t n = 0; n < 20; ++n) {
    SimulatedReplica model;
    model.work = milliseconds{ 7 };
    if (n < 2) {
      // Three such replicas serve 60 requests/s of 80, but an answer needs only one of the two
      // shards.
      model.work = milliseconds{ 100 };
    }
    AddService(n, model);
  }
  const declaration::Route route = MakeRoute(20, 19, milliseconds{ 250 });
  const LoadOutcome outcome = RunLoad(route, 80.0, seconds{ 20 });
  BOOST_TEST(outcome.inTime >= outcome.requests * 6 / 10);
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.requests * 9 / 10);
}

BOOST_AUTO_TEST_CASE(a_shard_without_replicas_is_reported_missing_immediately)
{
  for (std::size_t n = 0; n < 9; ++n) {
    AddService(n, PausingReplica());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 20.0, seconds{ 10 });
  BOOST_TEST(outcome.partial >= outcome.requests * 95 / 100);
  BOOST_TEST(outcome.complete == 0U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_near_replica_costs_no_answer)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingReplica());
  }
  replicas.at("s3-near").isDown = true;
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 20.0, seconds{ 20 });
  BOOST_TEST(outcome.complete >= outcome.requests * 95 / 100);
  BOOST_TEST(outcome.inTime >= outcome.requests * 8 / 10);
}

BOOST_AUTO_TEST_CASE(
  an_address_used_by_another_replica_gets_no_requests_until_it_is_announced_again)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingReplica());
  }
  // No announcement arrives; only the answers show that another replica uses the address.
  SimulatedReplica& moved = replicas.at("s3-near");
  moved.isAnotherReplica = true;
  replicas.at("s3-far").isDown = true;
  replicas.at("s3-farther").isDown = true;
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 20.0, seconds{ 10 });
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.requests * 95 / 100);
  // The first answer is sufficient, but a second request may already have been sent.
  BOOST_TEST(moved.arrivals >= 1U);
  BOOST_TEST(moved.arrivals <= 2U);
  moved.isAnotherReplica = false;
  upstream::AnnouncedReplica replica = AnnounceNearest("s3");
  set->AddOrUpdate(replica);
  BOOST_TEST(RunLoad(route, 20.0, seconds{ 1 }).complete == 0U);
  replica.sequence = 1;
  set->AddOrUpdate(replica);
  const LoadOutcome after = RunLoad(route, 20.0, seconds{ 10 });
  BOOST_TEST(after.complete >= after.requests * 95 / 100);
}

BOOST_AUTO_TEST_CASE(replicas_that_shed_part_of_the_load_cost_few_answers)
{
  for (std::size_t n = 0; n < 20; ++n) {
    AddService(n, PausingReplica());
  }
  const declaration::Route route = MakeRoute(20, 19, milliseconds{ 250 });
  // The daemon's share of the retry bound grows during its first window.
  RunLoad(route, 10.0, seconds{ 12 });
  for (std::size_t n = 0; n < 20; ++n) {
    const std::string service = "s" + std::to_string(n);
    // All replicas of every other service shed load; the remaining services have one that does not.
    replicas.at(service + "-near").shedShare = 0.5;
    replicas.at(service + "-far").shedShare = 0.5;
    replicas.at(service + "-farther").shedShare = n % 2 == 0 ? 0.5 : 0.0;
  }
  const LoadOutcome outcome = RunLoad(route, 10.0, seconds{ 5 });
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.requests * 9 / 10);
  BOOST_TEST(outcome.inTime >= outcome.requests * 9 / 10);
}

BOOST_AUTO_TEST_CASE(replicas_that_lose_answers_get_fewer_requests_than_healthy_distant_ones)
{
  for (std::size_t n = 0; n < 20; ++n) {
    const std::string service = AddService(n, PausingReplica());
    replicas.at(service + "-near").lostAnswerShare = 0.25;
    replicas.at(service + "-far").lostAnswerShare = 0.25;
  }
  const declaration::Route route = MakeRoute(20, 19, milliseconds{ 250 });
  RunLoad(route, 20.0, seconds{ 2 });
  for (auto& [id, replica] : replicas) {
    replica.arrivals = 0;
  }
  const LoadOutcome outcome = RunLoad(route, 20.0, seconds{ 8 });
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.requests * 95 / 100);
  BOOST_TEST(outcome.inTime >= outcome.requests * 95 / 100);
  std::uint32_t healthy = 0;
  std::uint32_t lossy = 0;
  for (const auto& [id, replica] : replicas) {
    (replica.lostAnswerShare > 0.0 ? lossy : healthy) += replica.arrivals;
  }
  // Two of three replicas are lossy, including the nearest one.
  BOOST_TEST(lossy * 5 <= (healthy + lossy) * 2);
}

BOOST_AUTO_TEST_CASE(a_leaving_replica_gets_no_requests_until_its_process_is_replaced)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingReplica());
  }
  SimulatedReplica& leaving = replicas.at("s3-near");
  leaving.isLeaving = true;
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 40.0, seconds{ 10 });
  BOOST_TEST(outcome.complete >= outcome.requests * 95 / 100);
  const std::uint32_t arrivals = leaving.arrivals;
  BOOST_TEST(arrivals <= 3U);
  // A later announcement, or an entry that is removed and added again, is still the same process.
  upstream::AnnouncedReplica replica = AnnounceNearest("s3");
  replica.sequence = 9;
  set->AddOrUpdate(replica);
  RunLoad(route, 40.0, seconds{ 1 });
  set->Remove(replica.id);
  set->AddOrUpdate(replica);
  RunLoad(route, 40.0, seconds{ 1 });
  BOOST_TEST(leaving.arrivals == arrivals);
  leaving.isLeaving = false;
  replica.startedAt = 7;
  set->AddOrUpdate(replica);
  RunLoad(route, 40.0, seconds{ 1 });
  BOOST_TEST(leaving.arrivals > arrivals);
}

BOOST_AUTO_TEST_CASE(a_replica_that_requests_a_backoff_gets_no_load_and_no_answer_is_missing)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingReplica());
  }
  SimulatedReplica& backingOff = replicas.at("s3-near");
  backingOff.backoff = seconds{ 5 };
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 250 });
  const LoadOutcome outcome = RunLoad(route, 40.0, seconds{ 4 });
  BOOST_TEST(outcome.complete >= outcome.requests * 95 / 100);
  // Only requests sent before the first answer arrived.
  BOOST_TEST(backingOff.arrivals <= 3U);
  backingOff.backoff = core::Duration::zero();
  RunLoad(route, 40.0, seconds{ 4 });
  BOOST_TEST(backingOff.arrivals > 20U);
}

BOOST_AUTO_TEST_CASE(
  callers_are_refused_immediately_while_all_replicas_of_a_shard_request_a_backoff)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingReplica());
  }
  for (const char* id : { "s3-near", "s3-far", "s3-farther" }) {
    replicas.at(id).backoff = seconds{ 6 };
  }
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 250 });
  RunLoad(route, 40.0, milliseconds{ 200 });
  const LoadOutcome outcome = RunLoad(route, 40.0, milliseconds{ 500 });
  BOOST_TEST(outcome.notRun == outcome.requests);
  BOOST_TEST((outcome.longestRefusalTime == core::Duration::zero()));
  BOOST_TEST_REQUIRE(!outcome.retryDelays.empty());
  // Callers retry when a replica accepts work again, spread over time.
  const auto [shortest, longest] =
    std::minmax_element(outcome.retryDelays.begin(), outcome.retryDelays.end());
  BOOST_TEST((*shortest >= milliseconds{ 500 }));
  BOOST_TEST((*longest <= milliseconds{ 6000 * 25 / 16 }));
  BOOST_TEST((*longest - *shortest >= milliseconds{ 100 }));
}

BOOST_AUTO_TEST_CASE(waiting_requests_fail_immediately_when_the_last_replica_leaves)
{
  SimulatedReplica model;
  model.work = milliseconds{ 300 };
  model.slots = 1;
  AddService(0, model);
  table->AddService({ "s0", 1, {}, 0.0 });
  for (const char* id : { "s0-far", "s0-farther" }) {
    set->Remove(id);
  }
  replicas.at("s0-near").isLeaving = true;
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 250 });
  // Two requests run, because there are two connections; all others wait.
  const LoadOutcome outcome = RunLoad(route, 50.0, milliseconds{ 200 });
  BOOST_TEST(outcome.requests >= 10U);
  BOOST_TEST(outcome.notRun >= outcome.requests - 2);
  BOOST_TEST((outcome.longestRefusalTime < milliseconds{ 600 }));
}

BOOST_AUTO_TEST_CASE(a_query_with_too_many_unavailable_shards_is_refused_before_any_part_is_sent)
{
  // After a restart of the whole system, some replicas are not announced yet.
  for (std::size_t n = 0; n < 8; ++n) {
    AddService(n, PausingReplica());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 20.0, seconds{ 2 });
  BOOST_TEST(outcome.notRun == outcome.requests);
  for (const auto& [id, replica] : replicas) {
    BOOST_TEST(replica.arrivals == 0U);
  }
}

BOOST_AUTO_TEST_CASE(requests_without_replicas_are_refused_immediately_as_not_run)
{
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = RunLoad(route, 20.0, seconds{ 2 });
  BOOST_TEST(outcome.notRun == outcome.requests);
  BOOST_TEST(outcome.attempts == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::tests
