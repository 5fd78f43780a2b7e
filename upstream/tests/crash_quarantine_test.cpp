#include "upstream/tests/dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kPoison = 666;

/** Four daemons that each own one replica of the same shard. */
struct FourOwners : public DispatcherFixture
{
  FourOwners()
  {
    for (int n = 1; n <= 4; ++n) {
      const std::string number = std::to_string(n);
      AddUpstream("r" + number).poison = R"({"poison":true})";
      AddDispatcher("vm-" + number).SetOwned({ Declare("r" + number) });
    }
    RunFor(milliseconds{ 50 });
  }

  std::string SendPoison(int aOwner, std::vector<std::string> aCrashed = {})
  {
    const std::string number = std::to_string(aOwner);
    PartRequest request = Request("r" + number, milliseconds{ 400 });
    request.search = R"({"poison":true})";
    request.fingerprint = kPoison;
    request.isCanary = true;
    request.crashedReplicas = std::move(aCrashed);
    return Send("vm-" + number, std::move(request));
  }

  /** A part with the bad fingerprint that does not crash its replica. */
  std::string SendHarmless()
  {
    PartRequest request = Request("r1", milliseconds{ 400 });
    request.fingerprint = kPoison;
    return Send("vm-1", std::move(request));
  }

  std::uint32_t Crashes() const
  {
    std::uint32_t n = 0;
    for (const auto& [name, upstream] : upstreams) {
      n += upstream->crashes;
    }
    return n;
  }

  PartStatus StatusOf(const std::string& aPart) { return ended[aPart].answer.status; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_quarantine, FourOwners)

BOOST_AUTO_TEST_CASE(a_third_replica_is_refused_everywhere)
{
  const std::string first = SendPoison(1);
  RunFor(milliseconds{ 50 });
  BOOST_TEST((StatusOf(first) == PartStatus::Crashed));
  BOOST_TEST(ended[first].answer.crashedReplicas.size() == 1U);
  const std::string second = SendPoison(2, ended[first].answer.crashedReplicas);
  RunFor(milliseconds{ 50 });
  BOOST_TEST((StatusOf(second) == PartStatus::Crashed));
  const std::string third = SendPoison(3);
  BOOST_TEST((StatusOf(third) == PartStatus::Quarantined));
  BOOST_TEST(Crashes() == 2U);
  BOOST_TEST(dispatchers["vm-4"]->QuarantinedFingerprints().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_replica_is_not_tried_again)
{
  SendPoison(1);
  RunFor(seconds{ 3 });
  const std::string again = SendPoison(1);
  BOOST_TEST((StatusOf(again) == PartStatus::NotRun));
  BOOST_TEST(ended[again].answer.crashedReplicas.at(0) == "r1");
  RunFor(seconds{ 1 });
  BOOST_TEST(Crashes() == 1U);
}

BOOST_AUTO_TEST_CASE(parts_of_one_fingerprint_at_one_owner_wait_for_the_first)
{
  std::vector<std::string> ids(5);
  for (std::string& id : ids) {
    id = SendPoison(1);
  }
  RunFor(milliseconds{ 100 });
  BOOST_TEST(Crashes() == 1U);
  BOOST_TEST((StatusOf(ids[0]) == PartStatus::Crashed));
  for (int n = 1; n < 5; ++n) {
    BOOST_TEST((StatusOf(ids[n]) == PartStatus::NotRun));
    BOOST_TEST(ended[ids[n]].answer.crashedReplicas.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(owners_that_do_not_know_of_each_others_crash_need_the_permit)
{
  SendPoison(1);
  RunFor(milliseconds{ 50 });
  // The evidence of the second crash is lost, and two senders know only of the first.
  losesEvidence = true;
  SendPoison(2, { "r1" });
  SendPoison(3, { "r1" });
  RunFor(seconds{ 1 });
  SendPoison(4, { "r1" });
  RunFor(seconds{ 1 });
  BOOST_TEST(Crashes() == 2U);
}

BOOST_AUTO_TEST_CASE(evidence_that_was_lost_is_sent_again)
{
  losesEvidence = true;
  SendPoison(1);
  RunFor(milliseconds{ 100 });
  losesEvidence = false;
  BOOST_TEST(dispatchers["vm-3"]->CrashedReplicas(kPoison).empty());
  RunFor(seconds{ 4 });
  BOOST_TEST(dispatchers["vm-3"]->CrashedReplicas(kPoison).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_joins_learns_of_the_quarantine)
{
  SendPoison(1);
  RunFor(milliseconds{ 50 });
  SendPoison(2, { "r1" });
  RunFor(seconds{ 10 });
  AddUpstream("r5").poison = R"({"poison":true})";
  AddDispatcher("vm-5").SetOwned({ Declare("r5") });
  for (const CrashEvidence& known : dispatchers["vm-4"]->Evidence()) {
    dispatchers["vm-5"]->Merge(known);
  }
  BOOST_TEST((StatusOf(SendPoison(5)) == PartStatus::Quarantined));
}

BOOST_AUTO_TEST_CASE(an_unreachable_store_prevents_the_second_run)
{
  SendPoison(1);
  RunFor(milliseconds{ 50 });
  permits.isDown = true;
  const std::string id = SendPoison(2, { "r1" });
  RunFor(milliseconds{ 50 });
  BOOST_TEST((StatusOf(id) == PartStatus::NotRun));
  BOOST_TEST(Crashes() == 1U);
}

BOOST_AUTO_TEST_CASE(a_slow_store_does_not_delay_a_suspect_past_its_deadline)
{
  SendPoison(1);
  RunFor(milliseconds{ 50 });
  permits.answerTime = seconds{ 3 };
  const std::string late = SendPoison(2, { "r1" });
  const std::string behind = SendPoison(2, { "r1" });
  RunFor(milliseconds{ 401 });
  BOOST_TEST((StatusOf(late) == PartStatus::NotRun));
  BOOST_TEST(ended[late].count == 1);
  BOOST_TEST(ended[behind].count == 1);
  const std::string cancelled = SendPoison(3, { "r1" });
  dispatchers["vm-3"]->Cancel(cancelled);
  BOOST_TEST((ended[cancelled].answer.refusal == PartRefusal::Cancelled));
  RunFor(seconds{ 10 });
  BOOST_TEST(Crashes() == 1U);
  BOOST_TEST(permits.holders.count("fingerprint-000000000000029a") == 0U);
}

BOOST_AUTO_TEST_CASE(lost_ownership_refuses_parts_that_wait_for_their_turn)
{
  upstreams["r1"]->poison.clear();
  upstreams["r1"]->serviceTime = milliseconds{ 50 };
  const std::string running = SendPoison(1);
  const std::string waiting = SendPoison(1);
  RunFor(milliseconds{ 10 });
  BOOST_REQUIRE(upstreams["r1"]->Running() == 1U);
  dispatchers["vm-1"]->SetOwned({});
  BOOST_TEST((ended[waiting].answer.refusal == PartRefusal::NotOwner));
  RunFor(milliseconds{ 100 });
  BOOST_TEST((StatusOf(running) == PartStatus::Answered));
}

BOOST_AUTO_TEST_CASE(a_broken_connection_is_no_crash)
{
  MakeWarm("vm-1", "r1");
  const std::string id = Send("vm-1", "r1");
  RunFor(milliseconds{ 1 });
  upstreams["r1"]->BreakConnections();
  RunFor(milliseconds{ 1 });
  BOOST_TEST((StatusOf(id) == PartStatus::Crashed));
  RunFor(seconds{ 2 });
  BOOST_TEST((evidence.back().kind == EvidenceKind::Alive));
  PartRequest again = Request("r1", milliseconds{ 400 });
  again.fingerprint = evidence.back().fingerprint;
  const std::string next = Send("vm-1", std::move(again));
  RunFor(seconds{ 1 });
  BOOST_TEST((StatusOf(next) == PartStatus::Answered));
}

BOOST_AUTO_TEST_CASE(a_harmless_request_on_a_crashing_replica_is_cleared_by_another_replica)
{
  const std::string id = Send("vm-1", "r1");
  const std::uint64_t fingerprint = 1001;
  RunFor(milliseconds{ 4 });
  upstreams["r1"]->Restart();
  RunFor(milliseconds{ 10 });
  BOOST_TEST((StatusOf(id) == PartStatus::Crashed));
  PartRequest again = Request("r2", milliseconds{ 400 });
  again.fingerprint = fingerprint;
  again.crashedReplicas = { "r1" };
  const std::string next = Send("vm-2", std::move(again));
  RunFor(seconds{ 1 });
  BOOST_TEST((StatusOf(next) == PartStatus::Answered));
  BOOST_TEST(dispatchers["vm-1"]->CrashedReplicas(fingerprint).empty());
  BOOST_TEST(permits.holders.count("fingerprint-00000000000003e9") == 0U);
}

BOOST_AUTO_TEST_CASE(a_queued_part_is_assessed_again_before_it_is_written)
{
  MakeWarm("vm-1", "r1");
  std::vector<std::string> ids(4);
  for (std::string& id : ids) {
    id = SendHarmless();
  }
  RunFor(milliseconds{ 1 });
  const std::uint32_t begun = upstreams["r1"]->begun;
  dispatchers["vm-1"]->Merge({ kPoison, EvidenceKind::Crash, "r2", "process-1", 5 });
  RunFor(milliseconds{ 50 });
  BOOST_TEST((StatusOf(ids[3]) == PartStatus::NotRun));
  BOOST_TEST(upstreams["r1"]->begun == begun);
}

BOOST_AUTO_TEST_CASE(a_quarantine_stops_queued_and_running_parts)
{
  MakeWarm("vm-1", "r1");
  upstreams["r1"]->serviceTime = milliseconds{ 50 };
  std::vector<std::string> ids(4);
  for (std::string& id : ids) {
    id = SendHarmless();
  }
  RunFor(milliseconds{ 1 });
  BOOST_REQUIRE(upstreams["r1"]->Running() == 3U);
  dispatchers["vm-1"]->Merge({ kPoison, EvidenceKind::Crash, "r2", "process-1", 0 });
  dispatchers["vm-1"]->Merge({ kPoison, EvidenceKind::Crash, "r3", "process-1", 0 });
  BOOST_TEST((StatusOf(ids[3]) == PartStatus::Quarantined));
  RunFor(milliseconds{ 2 });
  BOOST_TEST(upstreams["r1"]->Running() == 0U);
  BOOST_TEST((StatusOf(ids[0]) == PartStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(a_quarantine_can_be_lifted)
{
  SendPoison(1);
  RunFor(milliseconds{ 50 });
  SendPoison(2, { "r1" });
  RunFor(seconds{ 1 });
  dispatchers["vm-4"]->LiftQuarantine(kPoison);
  RunFor(milliseconds{ 10 });
  for (const auto& [vm, dispatcher] : dispatchers) {
    BOOST_TEST(dispatcher->QuarantinedFingerprints().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
