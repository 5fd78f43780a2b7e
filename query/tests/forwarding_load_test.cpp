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
  upstream::AnnouncedReplica replica;
  replica.id = "s3-near";
  replica.service = "s3";
  replica.address = replica.id;
  replica.failureDomain = "near";
  replica.slots = 2;
  set->Change(replica);
  BOOST_TEST(Play(route, 20.0, seconds{ 1 }).complete == 0U);
  replica.sequence = 1;
  set->Change(replica);
  const LoadOutcome after = Play(route, 20.0, seconds{ 10 });
  BOOST_TEST(after.complete >= after.asked * 95 / 100);
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
