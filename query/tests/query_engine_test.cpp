#include "query/tests/query_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace skylarkwing::query::test {

using namespace std::chrono_literals;
using upstream::PartRefusal;
using upstream::PartRequest;
using upstream::PartStatus;

namespace {

PartBehaviour
FailingPart(PartStatus aStatus, PartRefusal aRefusal)
{
  PartBehaviour part;
  part.status = aStatus;
  part.refusal = aRefusal;
  part.latency = 1ms;
  return part;
}

PartBehaviour
SlowPart(core::Duration aLatency)
{
  PartBehaviour part;
  part.latency = aLatency;
  return part;
}

PartBehaviour
Silent()
{
  PartBehaviour part;
  part.isSilent = true;
  return part;
}

/** Runs enough queries for latency quantiles, and makes one fingerprint safe. */
void
WarmUp(QueryFixture& aFixture)
{
  for (int n = 0; n < 100; ++n) {
    aFixture.Ask();
  }
  aFixture.sent.clear();
}

std::set<std::string>
ReplicasOf(const QueryFixture& aFixture)
{
  std::set<std::string> replicas;
  for (const SentPart& part : aFixture.sent) {
    replicas.insert(part.request.replica);
  }
  return replicas;
}

} // namespace

BOOST_AUTO_TEST_SUITE(query_engine)

BOOST_AUTO_TEST_CASE(merges_every_shard_of_one_snapshot)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 3);
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.complete);
  BOOST_TEST(result.snapshot == 7U);
  BOOST_TEST(result.coverage.answered == 4U);
  BOOST_TEST(result.coverage.total == 4U);
  BOOST_TEST(result.hits.size() == 12U);
  BOOST_TEST(result.hits.front().id == "v7-s0-0");
}

BOOST_AUTO_TEST_CASE(uses_the_newest_snapshot_that_every_shard_can_answer)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 3);
  fixture.AddSnapshot(8, 4, 3);
  for (int n = 0; n < 3; ++n) {
    fixture.Status("r2-" + std::to_string(n)).holdings.pop_back();
  }
  BOOST_TEST(fixture.Ask().snapshot == 7U);
}

BOOST_AUTO_TEST_CASE(reports_the_shard_that_has_no_replica_left)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 2);
  fixture.Status("r2-0").state = upstream::ReplicaState::Gone;
  fixture.Status("r2-1").state = upstream::ReplicaState::Out;
  const QueryResult result = fixture.Ask();
  BOOST_TEST((result.status == QueryStatus::Answered));
  BOOST_TEST(!result.complete);
  BOOST_TEST(result.coverage.missing == std::vector<std::uint32_t>{ 2 });
  BOOST_TEST(fixture.latencies.back() < 50ms);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_draining_or_out_replicas)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 3, 3);
  for (int n = 0; n < 3; ++n) {
    fixture.Status("r" + std::to_string(n) + "-0").state = upstream::ReplicaState::Draining;
    fixture.Status("r" + std::to_string(n) + "-1").state = upstream::ReplicaState::Out;
  }
  for (int n = 0; n < 50; ++n) {
    BOOST_TEST(fixture.Ask("{\"q\":" + std::to_string(n) + "}").complete);
  }
  BOOST_TEST((ReplicasOf(fixture) == std::set<std::string>{ "r0-2", "r1-2", "r2-2" }));
}

BOOST_AUTO_TEST_CASE(counts_a_partial_shard_as_missing)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 3, 1);
  fixture.behaviour = [](const PartRequest& aPart) {
    PartBehaviour part;
    part.isComplete = aPart.shard != 1;
    return part;
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(!result.complete);
  BOOST_TEST(result.coverage.missing == std::vector<std::uint32_t>{ 1 });
  BOOST_TEST(result.hits.size() == 7U);
}

BOOST_AUTO_TEST_CASE(asks_another_replica_after_a_partial_answer)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 3, 2);
  fixture.behaviour = [](const PartRequest& aPart) {
    PartBehaviour part;
    part.isComplete = aPart.replica != "r1-0";
    return part;
  };
  for (int n = 0; n < 10; ++n) {
    const QueryResult result = fixture.Ask();
    BOOST_TEST(result.complete);
    BOOST_TEST(result.hits.size() == 9U);
  }
}

BOOST_AUTO_TEST_CASE(drops_answers_of_another_snapshot)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 3, 1);
  fixture.behaviour = [](const PartRequest& aPart) {
    PartBehaviour part;
    part.hasWrongSnapshot = aPart.shard == 2;
    return part;
  };
  const QueryResult result = fixture.Ask("{\"q\":1}");
  for (const upstream::Hit& hit : result.hits) {
    BOOST_TEST(hit.id.starts_with("v7-"));
  }
  BOOST_TEST(!result.complete);
}

BOOST_AUTO_TEST_CASE(restarts_on_a_newer_snapshot_when_the_old_one_is_dropped)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 3, 2);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.snapshot != 7) {
      return PartBehaviour{};
    }
    if (fixture.Status("r0-0").holdings.size() == 1) {
      // The new snapshot has another number of shards.
      fixture.AddSnapshot(8, 5, 2);
    }
    return FailingPart(PartStatus::NotRun, PartRefusal::WrongSnapshot);
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.snapshot == 8U);
  BOOST_TEST(result.complete);
  BOOST_TEST(result.coverage.total == 5U);
}

BOOST_AUTO_TEST_CASE(answers_partially_on_the_old_snapshot_when_no_time_is_left)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 3, 1);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.shard == 0 && aPart.snapshot == 7) {
      PartBehaviour part = FailingPart(PartStatus::NotRun, PartRefusal::WrongSnapshot);
      part.latency = 16ms;
      fixture.Status("r0-0").holdings = { { 8, 1, { 0 } } };
      return part;
    }
    return PartBehaviour{};
  };
  const QueryResult result = fixture.Ask("{}", 20ms);
  BOOST_TEST(result.snapshot == 7U);
  BOOST_TEST(result.coverage.missing == std::vector<std::uint32_t>{ 0 });
}

BOOST_AUTO_TEST_CASE(answers_partially_before_the_deadline)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 1);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest& aPart) {
    return aPart.shard == 3 ? Silent() : PartBehaviour{};
  };
  const QueryResult result = fixture.Ask("{}", 100ms);
  BOOST_TEST(fixture.latencies.back() < 100ms);
  BOOST_TEST(result.coverage.missing == std::vector<std::uint32_t>{ 3 });
  for (const SentPart& part : fixture.sent) {
    BOOST_TEST((part.request.deadline < part.sentAt + 100ms));
  }
}

BOOST_AUTO_TEST_CASE(answers_immediately_when_no_more_shards_can_answer)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 2);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.shard != 3) {
      return PartBehaviour{};
    }
    return FailingPart(PartStatus::NotRun, PartRefusal::Overloaded);
  };
  const QueryResult result = fixture.Ask("{}", 500ms);
  BOOST_TEST(result.coverage.answered == 3U);
  BOOST_TEST(fixture.latencies.back() < 20ms);
}

BOOST_AUTO_TEST_CASE(refuses_below_the_minimum_coverage)
{
  QueryFixture fixture;
  fixture.profile.leastCoverage = 0.9;
  fixture.AddSnapshot(7, 4, 1);
  fixture.Status("r1-0").state = upstream::ReplicaState::Gone;
  const QueryResult result = fixture.Ask();
  BOOST_TEST((result.refusal == QueryRefusal::TooLittleCoverage));
  BOOST_TEST((result.executed == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(a_refusal_reports_not_executed_only_when_nothing_ran)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 2, 2);
  fixture.behaviour = [](const PartRequest&) {
    return FailingPart(PartStatus::NotRun, PartRefusal::Overloaded);
  };
  const QueryResult refused = fixture.Ask();
  BOOST_TEST((refused.refusal == QueryRefusal::Overloaded));
  BOOST_TEST((refused.executed == Executed::No));
  BOOST_TEST((refused.retryAfter > 0ms));
  fixture.behaviour = [](const PartRequest&) {
    return FailingPart(PartStatus::Unknown, PartRefusal::ConnectionLost);
  };
  BOOST_TEST((fixture.Ask().executed == Executed::Unknown));
  fixture.behaviour = [](const PartRequest&) { return Silent(); };
  BOOST_TEST((fixture.Ask("{}", 50ms).executed == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(hedges_a_straggler_and_cancels_the_slower_attempt)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 3);
  WarmUp(fixture);
  bool hasStraggled = false;
  fixture.behaviour = [&hasStraggled](const PartRequest& aPart) {
    if (aPart.shard != 2) {
      return aPart.shard == 3 ? SlowPart(30ms) : PartBehaviour{};
    }
    return std::exchange(hasStraggled, true) ? PartBehaviour{} : SlowPart(100ms);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 50ms);
  // One hedge for the straggler, two for the shard that is slow on every replica.
  BOOST_TEST(fixture.sent.size() == 7U);
  for (const SentPart& part : fixture.sent) {
    if (part.request.shard == 2 && part.cancelledAt) {
      // The slower attempt is cancelled immediately and not at the end of the query.
      BOOST_TEST((*part.cancelledAt - part.sentAt < 20ms));
      return;
    }
  }
  BOOST_ERROR("the slower attempt was not cancelled");
}

BOOST_AUTO_TEST_CASE(a_cold_start_does_not_delay_hedges)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 3);
  fixture.behaviour = [](const PartRequest&) { return SlowPart(100ms); };
  for (int n = 0; n < 10; ++n) {
    fixture.Ask();
  }
  fixture.behaviour = [](const PartRequest&) { return PartBehaviour{}; };
  WarmUp(fixture);
  bool hasStraggled = false;
  fixture.behaviour = [&hasStraggled](const PartRequest&) {
    return std::exchange(hasStraggled, true) ? PartBehaviour{} : SlowPart(100ms);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 30ms);
}

BOOST_AUTO_TEST_CASE(hedges_stay_within_their_budget_when_everything_slows_down)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 10, 3);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest&) { return SlowPart(60ms); };
  for (int n = 0; n < 100; ++n) {
    fixture.Ask();
  }
  // 4 % of the parts, plus the 20 tokens of a full bucket.
  BOOST_TEST(fixture.sent.size() <= 1000U + 40U + 20U);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 10, 3);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest&) {
    return FailingPart(PartStatus::Unknown, PartRefusal::ConnectionLost);
  };
  for (int n = 0; n < 100; ++n) {
    fixture.Ask();
  }
  BOOST_TEST(fixture.sent.size() <= 1000U + 100U + 20U);
}

BOOST_AUTO_TEST_CASE(non_idempotent_work_is_retried_only_when_it_did_not_run)
{
  QueryFixture fixture;
  fixture.profile.idempotent = false;
  fixture.AddSnapshot(7, 3, 3);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.shard == 0) {
      return FailingPart(PartStatus::Unknown, PartRefusal::ConnectionLost);
    }
    if (aPart.shard == 1 && !aPart.replica.ends_with("2")) {
      return FailingPart(PartStatus::NotRun, PartRefusal::Overloaded);
    }
    return SlowPart(100ms);
  };
  for (int n = 0; n < 20; ++n) {
    fixture.sent.clear();
    fixture.Ask("{\"q\":" + std::to_string(n) + "}");
    for (std::uint32_t shard = 0; shard < 3; ++shard) {
      BOOST_TEST(fixture.RunCount(shard) <= 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(one_canary_runs_before_the_other_parts)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 5, 3);
  for (int n = 0; n < 10; ++n) {
    fixture.StartQuery("{\"q\":1}", 200ms);
  }
  BOOST_TEST(fixture.sent.size() == 1U);
  BOOST_TEST(fixture.sent.front().request.isCanary);
  fixture.Advance(100ms);
  BOOST_TEST(fixture.results.size() == 10U);
  for (const QueryResult& result : fixture.results) {
    BOOST_TEST(result.complete);
  }
}

BOOST_AUTO_TEST_CASE(a_crashing_search_reaches_at_most_two_replicas)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 5, 3);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.search == "{\"q\":\"bad\"}") {
      return FailingPart(PartStatus::Crashed, PartRefusal::ConnectionLost);
    }
    return PartBehaviour{};
  };
  for (int n = 0; n < 10; ++n) {
    fixture.StartQuery("{\"q\":\"bad\"}", 200ms);
  }
  fixture.Advance(300ms);
  BOOST_TEST(ReplicasOf(fixture).size() == 2U);
  BOOST_TEST(fixture.results.size() == 10U);
  for (const QueryResult& result : fixture.results) {
    BOOST_TEST((result.refusal == QueryRefusal::Quarantined));
    BOOST_TEST((result.executed == Executed::Unknown));
  }
}

BOOST_AUTO_TEST_CASE(a_search_without_any_answer_is_sent_to_at_most_two_replicas)
{
  for (const PartBehaviour& unanswered :
       { Silent(), FailingPart(PartStatus::Unknown, PartRefusal::ConnectionLost) }) {
    QueryFixture fixture;
    fixture.AddSnapshot(7, 5, 3);
    fixture.behaviour = [unanswered](const PartRequest&) { return unanswered; };
    for (int n = 0; n < 3; ++n) {
      fixture.StartQuery("{\"q\":\"bad\"}", 200ms);
    }
    fixture.Advance(300ms);
    BOOST_TEST(ReplicasOf(fixture).size() <= 2U);
    BOOST_TEST(fixture.results.size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(a_known_crash_allows_one_more_replica)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 5, 3);
  fixture.knownCrashedReplicas = { "r0-0" };
  fixture.behaviour = [](const PartRequest&) {
    return FailingPart(PartStatus::Crashed, PartRefusal::ConnectionLost);
  };
  BOOST_TEST((fixture.Ask().refusal == QueryRefusal::Quarantined));
  BOOST_TEST(fixture.sent.size() == 1U);
  fixture.knownCrashedReplicas = { "r0-0", "r1-0" };
  BOOST_TEST((fixture.Ask("{\"q\":2}").refusal == QueryRefusal::Quarantined));
  BOOST_TEST(fixture.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_wrongly_suspected_search_is_answered_completely)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 5, 3);
  fixture.knownCrashedReplicas = { "r0-0" };
  BOOST_TEST(fixture.Ask().complete);
}

BOOST_AUTO_TEST_CASE(a_safe_search_is_retried_on_one_more_replica_after_a_crash)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 5, 3);
  WarmUp(fixture);
  bool hasCrashed = false;
  fixture.behaviour = [&hasCrashed](const PartRequest&) {
    if (std::exchange(hasCrashed, true)) {
      return PartBehaviour{};
    }
    return FailingPart(PartStatus::Crashed, PartRefusal::ConnectionLost);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.sent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(a_crash_on_one_shard_only_delays_the_hedge_of_another)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 5, 3);
  WarmUp(fixture);
  std::set<std::uint32_t> seen;
  fixture.behaviour = [&seen](const PartRequest& aPart) {
    if (aPart.shard > 1 || !seen.insert(aPart.shard).second) {
      return PartBehaviour{};
    }
    return aPart.shard == 0 ? SlowPart(100ms)
                            : FailingPart(PartStatus::Crashed, PartRefusal::ConnectionLost);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 30ms);
}

BOOST_AUTO_TEST_CASE(a_straggler_and_a_lost_replica_at_the_same_time)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 6, 3);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.replica.ends_with("-0")) {
      return SlowPart(100ms);
    }
    if (aPart.replica.ends_with("-1")) {
      return FailingPart(PartStatus::Unknown, PartRefusal::ConnectionLost);
    }
    return PartBehaviour{};
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 120ms);
}

BOOST_AUTO_TEST_CASE(a_failure_domain_goes_out_while_the_snapshot_changes)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 3);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.replica.ends_with("-0")) {
      return FailingPart(PartStatus::NotRun, PartRefusal::Unavailable);
    }
    if (aPart.snapshot == 7) {
      fixture.RemoveSnapshot(7);
      if (fixture.Status("r0-0").holdings.empty()) {
        fixture.AddSnapshot(9, 4, 3);
      }
      return FailingPart(PartStatus::NotRun, PartRefusal::WrongSnapshot);
    }
    return PartBehaviour{};
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.snapshot == 9U);
  BOOST_TEST(result.complete);
}

BOOST_AUTO_TEST_CASE(two_snapshot_changes_in_one_query)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 4, 2);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.snapshot == 9) {
      return PartBehaviour{};
    }
    fixture.RemoveSnapshot(aPart.snapshot);
    if (fixture.Status("r0-0").holdings.empty()) {
      fixture.AddSnapshot(aPart.snapshot + 1, 4, 2);
    }
    return FailingPart(PartStatus::NotRun, PartRefusal::WrongSnapshot);
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.snapshot == 9U);
  BOOST_TEST(result.complete);
}

BOOST_AUTO_TEST_CASE(a_replica_with_a_new_owner_is_tried_again)
{
  QueryFixture fixture;
  fixture.AddSnapshot(7, 2, 1);
  WarmUp(fixture);
  std::set<std::string> refused;
  fixture.behaviour = [&](const PartRequest& aPart) {
    if (!refused.insert(aPart.replica).second) {
      return PartBehaviour{};
    }
    fixture.Status(aPart.replica).owner = "another-vm";
    return FailingPart(PartStatus::NotRun, PartRefusal::NotOwner);
  };
  BOOST_TEST(fixture.Ask().complete);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
