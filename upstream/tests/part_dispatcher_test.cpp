#include "upstream/tests/dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One daemon that owns one replica. */
struct OneReplica : public DispatcherFixture
{
  FakeUpstream& upstream = AddUpstream("r1");

  OneReplica()
  {
    AddDispatcher("vm-1").SetOwned({ Declare("r1") });
    RunFor(milliseconds{ 50 });
  }

  PartStatus StatusOf(const std::string& aPart) { return ended[aPart].answer.status; }
  PartRefusal RefusalOf(const std::string& aPart) { return ended[aPart].answer.refusal; }

  /** Keeps more parts queued than the replica runs at a time. */
  void Load(core::Duration aSpan)
  {
    for (core::Duration sent{}; sent < aSpan; sent += milliseconds{ 2 }) {
      Send("vm-1", "r1", milliseconds{ 100 });
      Send("vm-1", "r1", milliseconds{ 100 });
      RunFor(milliseconds{ 2 });
    }
  }
};

bool
IsWarm(const DispatcherFixture& aFixture)
{
  return aFixture.Status("vm-1", "r1").state == ReplicaState::Warm;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(part_dispatcher, OneReplica)

BOOST_AUTO_TEST_CASE(answers_a_part_with_its_own_hits)
{
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 100 });
  BOOST_TEST(ended[id].count == 1);
  BOOST_TEST((StatusOf(id) == PartStatus::Answered));
  BOOST_TEST(ended[id].answer.hits.at(0).id == "hit-of-" + id);
  BOOST_TEST(Status("vm-1", "r1").holdings.at(0).snapshot == 7U);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_cold_replica_without_the_permit)
{
  permits.holders["r1"] = "vm-2";
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 20 });
  BOOST_TEST((StatusOf(id) == PartStatus::NotRun));
  BOOST_TEST((RefusalOf(id) == PartRefusal::Cold));
  BOOST_TEST(upstream.begun == 0U);
  const std::string next = Send("vm-1", "r1");
  BOOST_TEST(ended[next].count == 1);
}

BOOST_AUTO_TEST_CASE(refuses_parts_while_the_permit_is_slow)
{
  permits.answerTime = seconds{ 3 };
  const std::string id = Send("vm-1", "r1", seconds{ 2 });
  RunFor(milliseconds{ 101 });
  BOOST_TEST((RefusalOf(id) == PartRefusal::Cold));
  const std::string next = Send("vm-1", "r1", seconds{ 2 });
  BOOST_TEST((RefusalOf(next) == PartRefusal::Cold));
  RunFor(seconds{ 4 });
  const std::string last = Send("vm-1", "r1", seconds{ 2 });
  RunFor(milliseconds{ 100 });
  BOOST_TEST((StatusOf(last) == PartStatus::Answered));
}

BOOST_AUTO_TEST_CASE(ramps_up_a_cold_replica_within_its_limit)
{
  upstream.searchesUntilWarm = 20;
  Load(milliseconds{ 600 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
  BOOST_TEST(upstream.maxRunning == upstream.slots);
  BOOST_TEST(IsWarm(*this));
  BOOST_TEST(permits.holders.count("r1") == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_process_at_the_address_is_cold)
{
  Load(milliseconds{ 300 });
  BOOST_REQUIRE(IsWarm(*this));
  upstream.Restart();
  Load(milliseconds{ 600 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
  BOOST_TEST(IsWarm(*this));
}

BOOST_AUTO_TEST_CASE(a_process_replaced_while_idle_is_cold)
{
  Load(milliseconds{ 300 });
  BOOST_REQUIRE(IsWarm(*this));
  RunFor(milliseconds{ 100 });
  upstream.downTime = {};
  upstream.Restart();
  Load(milliseconds{ 100 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
}

BOOST_AUTO_TEST_CASE(turning_cold_while_serving_leaves_at_most_the_slots_in_flight)
{
  Load(milliseconds{ 300 });
  BOOST_REQUIRE(IsWarm(*this));
  upstream.searchesUntilWarm = 200;
  upstream.TurnCold();
  Load(milliseconds{ 300 });
  BOOST_TEST(upstream.overloadedWhileCold < upstream.slots);
  BOOST_TEST(Status("vm-1", "r1").allowance == upstream.coldSlots);
  BOOST_TEST(permits.holders.at("r1") == "vm-1");
}

BOOST_AUTO_TEST_CASE(a_latency_rise_drops_the_concurrency_limit)
{
  Load(milliseconds{ 600 });
  BOOST_REQUIRE(IsWarm(*this));
  upstream.serviceTime = milliseconds{ 30 };
  Load(milliseconds{ 100 });
  BOOST_TEST(Status("vm-1", "r1").allowance == upstream.coldSlots);
}

BOOST_AUTO_TEST_CASE(two_owners_share_one_permit)
{
  upstream.searchesUntilWarm = 40;
  AddDispatcher("vm-2").SetOwned({ Declare("r1") });
  for (int n = 0; n < 100; ++n) {
    Send("vm-1", "r1", milliseconds{ 100 });
    Send("vm-2", "r1", milliseconds{ 100 });
    RunFor(milliseconds{ 2 });
  }
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
  BOOST_TEST(upstream.maxConnections <= upstream.connectionLimit);
}

BOOST_AUTO_TEST_CASE(a_permit_that_lapses_before_the_write_stops_it)
{
  const std::string id = Send("vm-1", "r1");
  // The part is assigned when the permit arrives; the process then pauses before the write.
  while (Status("vm-1", "r1").inFlight == 0) {
    loop.restart();
    if (loop.poll_one() == 0) {
      timers.RunNext();
    }
  }
  permits.holders["r1"] = "vm-2";
  RunFor(milliseconds{ 100 });
  BOOST_TEST(upstream.begun == 0U);
  BOOST_TEST((StatusOf(id) == PartStatus::NotRun));
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_part_is_dropped_with_its_connection)
{
  MakeWarm("vm-1", "r1");
  upstream.misaddressesNextAnswer = true;
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 50 });
  BOOST_TEST((StatusOf(id) == PartStatus::Unknown));
  BOOST_TEST(ended[id].answer.hits.empty());
  BOOST_TEST((Status("vm-1", "r1").state == ReplicaState::Unknown));
  // The search itself may still run, so its slot stays in use until its deadline and the grace.
  RunFor(milliseconds{ 650 });
  const std::string next = Send("vm-1", "r1");
  RunFor(milliseconds{ 100 });
  BOOST_TEST(ended[next].answer.hits.at(0).id == "hit-of-" + next);
}

BOOST_AUTO_TEST_CASE(shed_requests_lower_the_concurrency_limit_and_are_not_repeated)
{
  Load(milliseconds{ 600 });
  BOOST_REQUIRE(IsWarm(*this));
  RunFor(milliseconds{ 100 });
  upstream.shedReason = ShedReason::Overloaded;
  const std::uint32_t begun = upstream.begun;
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 20 });
  BOOST_TEST((StatusOf(id) == PartStatus::NotRun));
  BOOST_TEST((RefusalOf(id) == PartRefusal::Overloaded));
  BOOST_TEST(upstream.begun == begun);
  BOOST_TEST(Status("vm-1", "r1").allowance == upstream.coldSlots);
  BOOST_TEST(IsWarm(*this));
}

BOOST_AUTO_TEST_CASE(the_load_endpoint_cannot_make_a_replica_warm)
{
  upstream.stateOnLoad = UpstreamState::Warm;
  upstream.searchesUntilWarm = 1000;
  Load(milliseconds{ 400 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
  BOOST_TEST((Status("vm-1", "r1").state == ReplicaState::Cold));
}

BOOST_AUTO_TEST_CASE(a_cold_notice_in_the_header_of_a_load_answer_counts_although_the_report_lags)
{
  MakeWarm("vm-1", "r1");
  upstream.stateOnLoad = UpstreamState::Warm;
  upstream.searchesUntilWarm = 1000;
  upstream.TurnCold();
  // Long enough for a poll of the load endpoint, which gives the only answer in that time.
  RunFor(seconds{ 3 });
  for (std::uint32_t n = 0; n < upstream.slots; ++n) {
    Send("vm-1", "r1", milliseconds{ 100 });
  }
  RunFor(milliseconds{ 100 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
  BOOST_TEST((Status("vm-1", "r1").state == ReplicaState::Cold));
}

BOOST_AUTO_TEST_CASE(a_draining_notice_in_the_header_of_a_load_answer_stops_new_requests)
{
  MakeWarm("vm-1", "r1");
  upstream.stateOnLoad = UpstreamState::Warm;
  upstream.state = UpstreamState::Draining;
  RunFor(seconds{ 3 });
  const std::string id = Send("vm-1", "r1");
  BOOST_TEST((RefusalOf(id) == PartRefusal::Unavailable));
}

BOOST_AUTO_TEST_CASE(an_answer_takes_precedence_over_the_load_endpoint)
{
  Load(milliseconds{ 300 });
  BOOST_REQUIRE(IsWarm(*this));
  int changes = 0;
  dispatchers["vm-1"]->OnStatusChange(
    [&changes](const ReplicaStatus& aStatus) { changes += aStatus.state != ReplicaState::Warm; });
  upstream.stateOnLoad = UpstreamState::Cold;
  Load(milliseconds{ 2000 });
  BOOST_TEST(changes == 0);
  BOOST_TEST(IsWarm(*this));
}

BOOST_AUTO_TEST_CASE(a_domain_out_of_service_gets_no_new_requests_and_returns_cold)
{
  MakeWarm("vm-1", "r1");
  const std::string running = Send("vm-1", "r1");
  RunFor(milliseconds{ 1 });
  dispatchers["vm-1"]->SetOwned({ Declare("r1", true) });
  const std::string late = Send("vm-1", "r1");
  BOOST_TEST((StatusOf(late) == PartStatus::NotRun));
  BOOST_TEST((RefusalOf(late) == PartRefusal::Unavailable));
  RunFor(milliseconds{ 100 });
  BOOST_TEST((StatusOf(running) == PartStatus::Answered));
  upstream.TurnCold();
  dispatchers["vm-1"]->SetOwned({ Declare("r1", false) });
  BOOST_TEST((Status("vm-1", "r1").state == ReplicaState::Unknown));
  Load(milliseconds{ 200 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
}

BOOST_AUTO_TEST_CASE(a_draining_replica_gets_no_new_requests)
{
  MakeWarm("vm-1", "r1");
  upstream.state = UpstreamState::Draining;
  upstream.stateOnLoad = UpstreamState::Warm;
  Send("vm-1", "r1");
  RunFor(milliseconds{ 20 });
  const std::uint32_t begun = upstream.begun;
  const std::string id = Send("vm-1", "r1");
  BOOST_TEST((RefusalOf(id) == PartRefusal::Unavailable));
  upstream.state = UpstreamState::Warm;
  RunFor(seconds{ 5 });
  BOOST_TEST((Status("vm-1", "r1").state == ReplicaState::Draining));
  BOOST_TEST(upstream.begun == begun);
}

BOOST_AUTO_TEST_CASE(a_drain_that_closes_connections_is_no_crash)
{
  MakeWarm("vm-1", "r1");
  const std::string running = Send("vm-1", "r1");
  RunFor(milliseconds{ 1 });
  upstream.state = UpstreamState::Draining;
  Send("vm-1", "r1");
  RunFor(milliseconds{ 1 });
  upstream.BreakConnections();
  RunFor(milliseconds{ 20 });
  BOOST_TEST((StatusOf(running) == PartStatus::Unknown));
  BOOST_TEST(evidence.empty());
}

BOOST_AUTO_TEST_CASE(refuses_parts_that_cannot_meet_their_deadline_at_once)
{
  MakeWarm("vm-1", "r1");
  for (int n = 0; n < 6; ++n) {
    Send("vm-1", "r1", milliseconds{ 11 });
  }
  const std::string id = Send("vm-1", "r1", milliseconds{ 11 });
  BOOST_TEST((StatusOf(id) == PartStatus::NotRun));
  BOOST_TEST((RefusalOf(id) == PartRefusal::DeadlineTooClose));
}

BOOST_AUTO_TEST_CASE(a_full_queue_evicts_a_less_important_part)
{
  MakeWarm("vm-1", "r1");
  const std::vector<std::string> ids = SendMany(15, "vm-1", "r1");
  const std::string refused = Send("vm-1", "r1");
  BOOST_TEST((RefusalOf(refused) == PartRefusal::Overloaded));
  PartRequest important = Request("r1", milliseconds{ 400 });
  important.priority = 0;
  const std::string id = Send("vm-1", std::move(important));
  BOOST_TEST((RefusalOf(ids.back()) == PartRefusal::Overloaded));
  RunFor(milliseconds{ 6 });
  BOOST_TEST(ended[id].count == 0);
  RunFor(milliseconds{ 4 });
  BOOST_TEST((StatusOf(id) == PartStatus::Answered));
}

BOOST_AUTO_TEST_CASE(cancels_queued_and_running_parts)
{
  MakeWarm("vm-1", "r1");
  upstream.serviceTime = milliseconds{ 50 };
  const std::vector<std::string> ids = SendMany(4, "vm-1", "r1");
  RunFor(milliseconds{ 2 });
  dispatchers["vm-1"]->Cancel(ids[3]);
  BOOST_TEST((StatusOf(ids[3]) == PartStatus::NotRun));
  BOOST_TEST((RefusalOf(ids[3]) == PartRefusal::Cancelled));
  dispatchers["vm-1"]->Cancel(ids[0]);
  RunFor(milliseconds{ 3 });
  BOOST_TEST((StatusOf(ids[0]) == PartStatus::Unknown));
  BOOST_TEST((RefusalOf(ids[0]) == PartRefusal::Cancelled));
  BOOST_TEST(upstream.Running() == 2U);
}

BOOST_AUTO_TEST_CASE(lost_ownership_finishes_running_parts)
{
  MakeWarm("vm-1", "r1");
  const std::vector<std::string> ids = SendMany(5, "vm-1", "r1");
  RunFor(milliseconds{ 1 });
  dispatchers["vm-1"]->SetOwned({});
  BOOST_TEST((RefusalOf(ids[4]) == PartRefusal::NotOwner));
  RunFor(milliseconds{ 50 });
  BOOST_TEST((StatusOf(ids[0]) == PartStatus::Answered));
  BOOST_TEST(upstream.Connections() == 0U);
  BOOST_TEST(permits.holders.empty());
}

BOOST_AUTO_TEST_CASE(stopping_finishes_running_parts)
{
  MakeWarm("vm-1", "r1");
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 1 });
  bool isStopped = false;
  boost::asio::co_spawn(loop, dispatchers["vm-1"]->Stop(), [&isStopped](const std::exception_ptr&) {
    isStopped = true;
  });
  RunFor(milliseconds{ 1 });
  BOOST_TEST(!isStopped);
  RunFor(milliseconds{ 50 });
  BOOST_TEST(isStopped);
  BOOST_TEST((StatusOf(id) == PartStatus::Answered));
  BOOST_TEST(upstream.Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(a_search_that_lost_its_connection_keeps_its_slot)
{
  upstream.serviceTime = milliseconds{ 60 };
  Send("vm-1", "r1");
  RunFor(milliseconds{ 10 });
  BOOST_REQUIRE(upstream.Running() == 1U);
  upstream.BreakConnections();
  Send("vm-1", "r1");
  RunFor(milliseconds{ 40 });
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_process_frees_the_slots_of_the_former_one)
{
  upstream.serviceTime = milliseconds{ 60 };
  Send("vm-1", "r1", seconds{ 5 });
  RunFor(milliseconds{ 10 });
  upstream.Restart();
  RunFor(seconds{ 1 });
  const std::string id = Send("vm-1", "r1", seconds{ 5 });
  RunFor(milliseconds{ 200 });
  BOOST_TEST((StatusOf(id) == PartStatus::Answered));
}

BOOST_AUTO_TEST_CASE(owners_that_overlap_stay_within_the_connection_limit)
{
  upstream.connectionLimit = 8;
  for (const char* vm : { "vm-1", "vm-2", "vm-3", "vm-4" }) {
    AddDispatcher(vm).SetOwned({ Declare("r1") });
    RunFor(milliseconds{ 50 });
    MakeWarm(vm, "r1");
    RunFor(milliseconds{ 500 });
  }
  BOOST_TEST((Status("vm-4", "r1").state == ReplicaState::Warm));
  BOOST_TEST(upstream.maxConnections <= upstream.connectionLimit);
}

BOOST_AUTO_TEST_CASE(a_replica_owned_again_waits_for_its_former_worker)
{
  upstream.serviceTime = milliseconds{ 60 };
  Send("vm-1", "r1");
  RunFor(milliseconds{ 10 });
  BOOST_REQUIRE(upstream.Running() == 1U);
  dispatchers["vm-1"]->SetOwned({});
  dispatchers["vm-1"]->SetOwned({ Declare("r1") });
  for (int n = 0; n < 40; ++n) {
    Send("vm-1", "r1");
    RunFor(milliseconds{ 1 });
  }
  BOOST_TEST(upstream.overloadedWhileCold == 0U);
  RunFor(milliseconds{ 500 });
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 100 });
  BOOST_TEST((StatusOf(id) == PartStatus::Answered));
}

BOOST_AUTO_TEST_CASE(a_wrong_snapshot_is_removed_from_the_status)
{
  MakeWarm("vm-1", "r1");
  upstream.shedReason = ShedReason::WrongSnapshot;
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 20 });
  BOOST_TEST((RefusalOf(id) == PartRefusal::WrongSnapshot));
  BOOST_TEST(Status("vm-1", "r1").holdings.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
