#include "query/tests/replica_world.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ReplicaModel
PausingModel()
{
  ReplicaModel model;
  model.work = milliseconds{ 7 };
  model.pauseEvery = milliseconds{ 4500 };
  model.pause = milliseconds{ 200 };
  return model;
}

/** @return what the near replica of a service announces. */
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

} // namespace

BOOST_FIXTURE_TEST_SUITE(forwarding_load, ReplicaWorld)

BOOST_AUTO_TEST_CASE(pauses_of_replicas_stay_within_the_objective)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingModel());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 25.0, seconds{ 30 });
  BOOST_TEST(outcome.inTime >= outcome.asked * 97 / 100);
  BOOST_TEST(outcome.complete >= outcome.asked * 95 / 100);
  BOOST_TEST(outcome.failed == 0U);
  // The bound of the fleet: a fifth of the requests, and a slack in each 10 s.
  for (const auto& [id, replica] : replicas) {
    BOOST_TEST(replica.connections <= 26U * 5);
  }
  BOOST_TEST(static_cast<double>(outcome.attempts) <=
             static_cast<double>(outcome.asked) * 10 * 1.2 + 54 * 10 * 3);
}

BOOST_AUTO_TEST_CASE(two_overloaded_shards_of_many_dont_make_every_answer_late)
{
  for (std::size_t n = 0; n < 20; ++n) {
    ReplicaModel model;
    model.work = milliseconds{ 7 };
    if (n < 2) {
      // Three such replicas do 60 a second. 80 are asked for, but an answer needs one shard of two.
      model.work = milliseconds{ 100 };
    }
    AddService(n, model);
  }
  const declaration::Route route = MakeRoute(20, 19, milliseconds{ 250 });
  const LoadOutcome outcome = Play(route, 80.0, seconds{ 20 });
  BOOST_TEST(outcome.inTime >= outcome.asked * 6 / 10);
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.asked * 9 / 10);
}

BOOST_AUTO_TEST_CASE(a_shard_without_replicas_is_missing_at_once)
{
  for (std::size_t n = 0; n < 9; ++n) {
    AddService(n, PausingModel());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 20.0, seconds{ 10 });
  BOOST_TEST(outcome.partial >= outcome.asked * 95 / 100);
  BOOST_TEST(outcome.complete == 0U);
}

BOOST_AUTO_TEST_CASE(a_dark_near_replica_costs_no_answer)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingModel());
  }
  replicas.at("s3-near").isDown = true;
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 20.0, seconds{ 20 });
  BOOST_TEST(outcome.complete >= outcome.asked * 95 / 100);
  BOOST_TEST(outcome.inTime >= outcome.asked * 8 / 10);
}

BOOST_AUTO_TEST_CASE(
  an_address_that_belongs_to_another_replica_gets_nothing_until_it_is_announced_again)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingModel());
  }
  // The store is away, so that nothing tells of it but the answers.
  ReplicaModel& moved = replicas.at("s3-near");
  moved.isElsewhere = true;
  replicas.at("s3-far").isDown = true;
  replicas.at("s3-farther").isDown = true;
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 20.0, seconds{ 10 });
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.asked * 95 / 100);
  // One answer is proof enough; another request may be under way by then.
  BOOST_TEST(moved.arrivals >= 1U);
  BOOST_TEST(moved.arrivals <= 2U);
  moved.isElsewhere = false;
  upstream::AnnouncedReplica replica = AnnounceNearest("s3");
  set->AddOrUpdate(replica);
  BOOST_TEST(Play(route, 20.0, seconds{ 1 }).complete == 0U);
  replica.sequence = 1;
  set->AddOrUpdate(replica);
  const LoadOutcome after = Play(route, 20.0, seconds{ 10 });
  BOOST_TEST(after.complete >= after.asked * 95 / 100);
}

BOOST_AUTO_TEST_CASE(replicas_that_turn_away_a_part_of_the_load_cost_few_answers)
{
  for (std::size_t n = 0; n < 20; ++n) {
    AddService(n, PausingModel());
  }
  const declaration::Route route = MakeRoute(20, 19, milliseconds{ 250 });
  // The daemon's share of the extra attempts grows in its first window.
  Play(route, 10.0, seconds{ 12 });
  for (std::size_t n = 0; n < 20; ++n) {
    const std::string service = "s" + std::to_string(n);
    // Of every other service all replicas do it, of the rest one does not.
    replicas.at(service + "-near").shedShare = 0.5;
    replicas.at(service + "-far").shedShare = 0.5;
    replicas.at(service + "-farther").shedShare = n % 2 == 0 ? 0.5 : 0.0;
  }
  const LoadOutcome outcome = Play(route, 10.0, seconds{ 5 });
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.asked * 9 / 10);
  BOOST_TEST(outcome.inTime >= outcome.asked * 9 / 10);
}

BOOST_AUTO_TEST_CASE(replicas_that_lose_answers_get_less_than_sound_ones_farther_away)
{
  for (std::size_t n = 0; n < 20; ++n) {
    const std::string service = AddService(n, PausingModel());
    replicas.at(service + "-near").loseShare = 0.25;
    replicas.at(service + "-far").loseShare = 0.25;
  }
  const declaration::Route route = MakeRoute(20, 19, milliseconds{ 250 });
  Play(route, 20.0, seconds{ 2 });
  for (auto& [id, replica] : replicas) {
    replica.arrivals = 0;
  }
  const LoadOutcome outcome = Play(route, 20.0, seconds{ 8 });
  BOOST_TEST(outcome.complete + outcome.partial >= outcome.asked * 95 / 100);
  BOOST_TEST(outcome.inTime >= outcome.asked * 95 / 100);
  std::uint32_t sound = 0;
  std::uint32_t lossy = 0;
  for (const auto& [id, replica] : replicas) {
    (replica.loseShare > 0.0 ? lossy : sound) += replica.arrivals;
  }
  // Two of three replicas are lossy, and the nearest is among them.
  BOOST_TEST(lossy * 5 <= (sound + lossy) * 2);
}

BOOST_AUTO_TEST_CASE(a_replica_that_says_it_leaves_gets_nothing_more_until_it_is_another_process)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingModel());
  }
  ReplicaModel& leaving = replicas.at("s3-near");
  leaving.isLeaving = true;
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 40.0, seconds{ 10 });
  BOOST_TEST(outcome.complete >= outcome.asked * 95 / 100);
  const std::uint32_t arrivals = leaving.arrivals;
  BOOST_TEST(arrivals <= 3U);
  // Neither a later announcement nor an entry that vanishes and comes back makes it another
  // process.
  upstream::AnnouncedReplica replica = AnnounceNearest("s3");
  replica.sequence = 9;
  set->AddOrUpdate(replica);
  Play(route, 40.0, seconds{ 1 });
  set->Remove(replica.id);
  set->AddOrUpdate(replica);
  Play(route, 40.0, seconds{ 1 });
  BOOST_TEST(leaving.arrivals == arrivals);
  leaving.isLeaving = false;
  replica.startedAt = 7;
  set->AddOrUpdate(replica);
  Play(route, 40.0, seconds{ 1 });
  BOOST_TEST(leaving.arrivals > arrivals);
}

BOOST_AUTO_TEST_CASE(a_replica_that_wants_rest_gets_none_of_the_load_and_no_answer_is_missing)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingModel());
  }
  ReplicaModel& resting = replicas.at("s3-near");
  resting.rest = seconds{ 5 };
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 250 });
  const LoadOutcome outcome = Play(route, 40.0, seconds{ 4 });
  BOOST_TEST(outcome.complete >= outcome.asked * 95 / 100);
  // What was under way before the first answer came, and not one more.
  BOOST_TEST(resting.arrivals <= 3U);
  resting.rest = core::Duration::zero();
  Play(route, 40.0, seconds{ 4 });
  BOOST_TEST(resting.arrivals > 20U);
}

BOOST_AUTO_TEST_CASE(callers_are_refused_at_once_while_all_replicas_of_a_shard_want_rest)
{
  for (std::size_t n = 0; n < 10; ++n) {
    AddService(n, PausingModel());
  }
  for (const char* id : { "s3-near", "s3-far", "s3-farther" }) {
    replicas.at(id).rest = seconds{ 6 };
  }
  const declaration::Route route = MakeRoute(10, 10, milliseconds{ 250 });
  Play(route, 40.0, milliseconds{ 200 });
  const LoadOutcome outcome = Play(route, 40.0, milliseconds{ 500 });
  BOOST_TEST(outcome.notRun == outcome.asked);
  BOOST_TEST((outcome.longestRefusal == core::Duration::zero()));
  BOOST_TEST_REQUIRE(!outcome.retryAfters.empty());
  // They come back when a replica does, and not all at the same moment.
  const auto [least, most] =
    std::minmax_element(outcome.retryAfters.begin(), outcome.retryAfters.end());
  BOOST_TEST((*least >= milliseconds{ 500 }));
  BOOST_TEST((*most <= milliseconds{ 6000 * 25 / 16 }));
  BOOST_TEST((*most - *least >= milliseconds{ 100 }));
}

BOOST_AUTO_TEST_CASE(what_waits_for_room_is_told_at_once_when_the_last_replica_leaves)
{
  ReplicaModel model;
  model.work = milliseconds{ 300 };
  model.slots = 1;
  AddService(0, model);
  table->AddService({ "s0", 1, {}, 0.0 });
  for (const char* id : { "s0-far", "s0-farther" }) {
    set->Remove(id);
  }
  replicas.at("s0-near").isLeaving = true;
  const declaration::Route route = MakeRoute(1, 1, milliseconds{ 250 });
  // Two run, since there are two connections, and all others wait.
  const LoadOutcome outcome = Play(route, 50.0, milliseconds{ 200 });
  BOOST_TEST(outcome.asked >= 10U);
  BOOST_TEST(outcome.notRun >= outcome.asked - 2);
  BOOST_TEST((outcome.longestRefusal < milliseconds{ 600 }));
}

BOOST_AUTO_TEST_CASE(a_query_that_would_lack_too_many_shards_is_refused_before_any_is_asked)
{
  // After a restart of all, the store lacks most of the replicas for a while.
  for (std::size_t n = 0; n < 8; ++n) {
    AddService(n, PausingModel());
  }
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 20.0, seconds{ 2 });
  BOOST_TEST(outcome.notRun == outcome.asked);
  for (const auto& [id, replica] : replicas) {
    BOOST_TEST(replica.arrivals == 0U);
  }
}

BOOST_AUTO_TEST_CASE(what_cannot_be_served_is_refused_at_once_as_not_run)
{
  const declaration::Route route = MakeRoute(10, 9, milliseconds{ 150 });
  const LoadOutcome outcome = Play(route, 20.0, seconds{ 2 });
  BOOST_TEST(outcome.notRun == outcome.asked);
  BOOST_TEST(outcome.attempts == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::tests
