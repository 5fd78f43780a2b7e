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
Failing(PartStatus aStatus, PartRefusal aRefusal)
{
  PartBehaviour part;
  part.status = aStatus;
  part.refusal = aRefusal;
  part.latency = 1ms;
  return part;
}

PartBehaviour
Slow(core::Duration aLatency)
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

/** Runs enough queries that latencies are known and one fingerprint is safe. */
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

BOOST_AUTO_TEST_CASE(merges_every_shard_of_one_version)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 3);
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.complete);
  BOOST_TEST(result.snapshot == 7U);
  BOOST_TEST(result.coverage.answered == 4U);
  BOOST_TEST(result.coverage.total == 4U);
  BOOST_TEST(result.hits.size() == 12U);
  BOOST_TEST(result.hits.front().id == "v7-s0-0");
}

BOOST_AUTO_TEST_CASE(takes_the_newest_version_that_every_shard_can_answer)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 3);
  fixture.AddVersion(8, 4, 3);
  for (int n = 0; n < 3; ++n) {
    fixture.Fact("r2-" + std::to_string(n)).holdings.pop_back();
  }
  BOOST_TEST(fixture.Ask().snapshot == 7U);
}

BOOST_AUTO_TEST_CASE(names_the_shard_that_has_no_replica_left)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 2);
  fixture.Fact("r2-0").state = upstream::ReplicaState::Gone;
  fixture.Fact("r2-1").state = upstream::ReplicaState::Out;
  const QueryResult result = fixture.Ask();
  BOOST_TEST((result.status == QueryStatus::Answered));
  BOOST_TEST(!result.complete);
  BOOST_TEST(result.coverage.missing == std::vector<std::uint32_t>{ 2 });
  BOOST_TEST(fixture.latencies.back() < 50ms);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_replicas_that_leave_or_are_out)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 3, 3);
  for (int n = 0; n < 3; ++n) {
    fixture.Fact("r" + std::to_string(n) + "-0").state = upstream::ReplicaState::Draining;
    fixture.Fact("r" + std::to_string(n) + "-1").state = upstream::ReplicaState::Out;
  }
  for (int n = 0; n < 50; ++n) {
    BOOST_TEST(fixture.Ask("{\"q\":" + std::to_string(n) + "}").complete);
  }
  BOOST_TEST((ReplicasOf(fixture) == std::set<std::string>{ "r0-2", "r1-2", "r2-2" }));
}

BOOST_AUTO_TEST_CASE(counts_a_partial_shard_as_missing)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 3, 1);
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
  fixture.AddVersion(7, 3, 2);
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

BOOST_AUTO_TEST_CASE(drops_answers_of_another_version)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 3, 1);
  fixture.behaviour = [](const PartRequest& aPart) {
    PartBehaviour part;
    part.isMislabelled = aPart.shard == 2;
    return part;
  };
  const QueryResult result = fixture.Ask("{\"q\":1}");
  for (const upstream::Hit& hit : result.hits) {
    BOOST_TEST(hit.id.starts_with("v7-"));
  }
  BOOST_TEST(!result.complete);
}

BOOST_AUTO_TEST_CASE(starts_again_on_a_newer_version_when_the_old_one_dies)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 3, 2);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.snapshot != 7) {
      return PartBehaviour{};
    }
    if (fixture.Fact("r0-0").holdings.size() == 1) {
      // The repartition has another number of shards.
      fixture.AddVersion(8, 5, 2);
    }
    return Failing(PartStatus::NotRun, PartRefusal::WrongSnapshot);
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.snapshot == 8U);
  BOOST_TEST(result.complete);
  BOOST_TEST(result.coverage.total == 5U);
}

BOOST_AUTO_TEST_CASE(answers_partially_on_the_old_version_when_no_time_is_left)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 3, 1);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.shard == 0 && aPart.snapshot == 7) {
      PartBehaviour part = Failing(PartStatus::NotRun, PartRefusal::WrongSnapshot);
      part.latency = 16ms;
      fixture.Fact("r0-0").holdings = { { 8, 1, { 0 } } };
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
  fixture.AddVersion(7, 4, 1);
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

BOOST_AUTO_TEST_CASE(answers_at_once_when_nothing_can_get_better)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 2);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.shard != 3) {
      return PartBehaviour{};
    }
    return Failing(PartStatus::NotRun, PartRefusal::Overloaded);
  };
  const QueryResult result = fixture.Ask("{}", 500ms);
  BOOST_TEST(result.coverage.answered == 3U);
  BOOST_TEST(fixture.latencies.back() < 20ms);
}

BOOST_AUTO_TEST_CASE(refuses_below_the_least_coverage)
{
  QueryFixture fixture;
  fixture.profile.leastCoverage = 0.9;
  fixture.AddVersion(7, 4, 1);
  fixture.Fact("r1-0").state = upstream::ReplicaState::Gone;
  const QueryResult result = fixture.Ask();
  BOOST_TEST((result.refusal == QueryRefusal::TooLittleCoverage));
  BOOST_TEST((result.executed == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(a_refusal_says_not_run_only_when_nothing_ran)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 2, 2);
  fixture.behaviour = [](const PartRequest&) {
    return Failing(PartStatus::NotRun, PartRefusal::Overloaded);
  };
  const QueryResult refused = fixture.Ask();
  BOOST_TEST((refused.refusal == QueryRefusal::Overloaded));
  BOOST_TEST((refused.executed == Executed::No));
  BOOST_TEST((refused.retryAfter > 0ms));
  fixture.behaviour = [](const PartRequest&) {
    return Failing(PartStatus::Unknown, PartRefusal::ConnectionLost);
  };
  BOOST_TEST((fixture.Ask().executed == Executed::Unknown));
  fixture.behaviour = [](const PartRequest&) { return Silent(); };
  BOOST_TEST((fixture.Ask("{}", 50ms).executed == Executed::Unknown));
}

BOOST_AUTO_TEST_CASE(hedges_a_straggler_and_cancels_the_loser)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 3);
  WarmUp(fixture);
  bool hasStraggled = false;
  fixture.behaviour = [&hasStraggled](const PartRequest& aPart) {
    if (aPart.shard != 2) {
      return aPart.shard == 3 ? Slow(30ms) : PartBehaviour{};
    }
    return std::exchange(hasStraggled, true) ? PartBehaviour{} : Slow(100ms);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 50ms);
  // One hedge for the straggler, two for the shard that is slow everywhere.
  BOOST_TEST(fixture.sent.size() == 7U);
  for (const SentPart& part : fixture.sent) {
    if (part.request.shard == 2 && part.cancelledAt) {
      // The loser is given up at once and not at the end of the query.
      BOOST_TEST((*part.cancelledAt - part.sentAt < 20ms));
      return;
    }
  }
  BOOST_ERROR("the loser was not cancelled");
}

BOOST_AUTO_TEST_CASE(a_cold_start_does_not_put_hedges_off)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 3);
  fixture.behaviour = [](const PartRequest&) { return Slow(100ms); };
  for (int n = 0; n < 10; ++n) {
    fixture.Ask();
  }
  fixture.behaviour = [](const PartRequest&) { return PartBehaviour{}; };
  WarmUp(fixture);
  bool hasStraggled = false;
  fixture.behaviour = [&hasStraggled](const PartRequest&) {
    return std::exchange(hasStraggled, true) ? PartBehaviour{} : Slow(100ms);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 30ms);
}

BOOST_AUTO_TEST_CASE(hedges_stay_within_their_budget_when_everything_slows_down)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 10, 3);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest&) { return Slow(60ms); };
  for (int n = 0; n < 100; ++n) {
    fixture.Ask();
  }
  // 4 in 100 and the 20 that had been saved up.
  BOOST_TEST(fixture.sent.size() <= 1000U + 40U + 20U);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 10, 3);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest&) {
    return Failing(PartStatus::Unknown, PartRefusal::ConnectionLost);
  };
  for (int n = 0; n < 100; ++n) {
    fixture.Ask();
  }
  BOOST_TEST(fixture.sent.size() <= 1000U + 100U + 20U);
}

BOOST_AUTO_TEST_CASE(work_that_is_not_idempotent_is_sent_again_only_when_it_did_not_run)
{
  QueryFixture fixture;
  fixture.profile.idempotent = false;
  fixture.AddVersion(7, 3, 3);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.shard == 0) {
      return Failing(PartStatus::Unknown, PartRefusal::ConnectionLost);
    }
    if (aPart.shard == 1 && !aPart.replica.ends_with("2")) {
      return Failing(PartStatus::NotRun, PartRefusal::Overloaded);
    }
    return Slow(100ms);
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
  fixture.AddVersion(7, 5, 3);
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

BOOST_AUTO_TEST_CASE(a_crashing_search_takes_at_most_two_replicas)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 5, 3);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.search == "{\"q\":\"bad\"}") {
      return Failing(PartStatus::Crashed, PartRefusal::ConnectionLost);
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

BOOST_AUTO_TEST_CASE(a_search_that_is_lost_without_a_trace_is_tried_on_two_replicas)
{
  for (const PartBehaviour& lost :
       { Silent(), Failing(PartStatus::Unknown, PartRefusal::ConnectionLost) }) {
    QueryFixture fixture;
    fixture.AddVersion(7, 5, 3);
    fixture.behaviour = [lost](const PartRequest&) { return lost; };
    for (int n = 0; n < 3; ++n) {
      fixture.StartQuery("{\"q\":\"bad\"}", 200ms);
    }
    fixture.Advance(300ms);
    BOOST_TEST(ReplicasOf(fixture).size() <= 2U);
    BOOST_TEST(fixture.results.size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(a_known_crash_leaves_one_more_replica)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 5, 3);
  fixture.knownCrashes = { "r0-0" };
  fixture.behaviour = [](const PartRequest&) {
    return Failing(PartStatus::Crashed, PartRefusal::ConnectionLost);
  };
  BOOST_TEST((fixture.Ask().refusal == QueryRefusal::Quarantined));
  BOOST_TEST(fixture.sent.size() == 1U);
  fixture.knownCrashes = { "r0-0", "r1-0" };
  BOOST_TEST((fixture.Ask("{\"q\":2}").refusal == QueryRefusal::Quarantined));
  BOOST_TEST(fixture.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_search_that_was_suspected_wrongly_is_answered_in_full)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 5, 3);
  fixture.knownCrashes = { "r0-0" };
  BOOST_TEST(fixture.Ask().complete);
}

BOOST_AUTO_TEST_CASE(a_safe_search_that_meets_a_crash_is_tried_on_one_more_replica)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 5, 3);
  WarmUp(fixture);
  bool hasCrashed = false;
  fixture.behaviour = [&hasCrashed](const PartRequest&) {
    if (std::exchange(hasCrashed, true)) {
      return PartBehaviour{};
    }
    return Failing(PartStatus::Crashed, PartRefusal::ConnectionLost);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.sent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(a_crash_of_one_shard_only_delays_the_hedge_of_another)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 5, 3);
  WarmUp(fixture);
  std::set<std::uint32_t> hit;
  fixture.behaviour = [&hit](const PartRequest& aPart) {
    if (aPart.shard > 1 || !hit.insert(aPart.shard).second) {
      return PartBehaviour{};
    }
    return aPart.shard == 0 ? Slow(100ms)
                            : Failing(PartStatus::Crashed, PartRefusal::ConnectionLost);
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 30ms);
}

BOOST_AUTO_TEST_CASE(a_straggler_and_a_lost_replica_together)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 6, 3);
  WarmUp(fixture);
  fixture.behaviour = [](const PartRequest& aPart) {
    if (aPart.replica.ends_with("-0")) {
      return Slow(100ms);
    }
    if (aPart.replica.ends_with("-1")) {
      return Failing(PartStatus::Unknown, PartRefusal::ConnectionLost);
    }
    return PartBehaviour{};
  };
  BOOST_TEST(fixture.Ask().complete);
  BOOST_TEST(fixture.latencies.back() < 120ms);
}

BOOST_AUTO_TEST_CASE(a_failure_domain_goes_out_while_the_version_changes)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 3);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.replica.ends_with("-0")) {
      return Failing(PartStatus::NotRun, PartRefusal::Unavailable);
    }
    if (aPart.snapshot == 7) {
      fixture.RemoveVersion(7);
      if (fixture.Fact("r0-0").holdings.empty()) {
        fixture.AddVersion(9, 4, 3);
      }
      return Failing(PartStatus::NotRun, PartRefusal::WrongSnapshot);
    }
    return PartBehaviour{};
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.snapshot == 9U);
  BOOST_TEST(result.complete);
}

BOOST_AUTO_TEST_CASE(two_version_changes_in_one_query)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 2);
  WarmUp(fixture);
  fixture.behaviour = [&fixture](const PartRequest& aPart) {
    if (aPart.snapshot == 9) {
      return PartBehaviour{};
    }
    fixture.RemoveVersion(aPart.snapshot);
    if (fixture.Fact("r0-0").holdings.empty()) {
      fixture.AddVersion(aPart.snapshot + 1, 4, 2);
    }
    return Failing(PartStatus::NotRun, PartRefusal::WrongSnapshot);
  };
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.snapshot == 9U);
  BOOST_TEST(result.complete);
}

BOOST_AUTO_TEST_CASE(a_replica_that_changed_owners_is_asked_again)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 2, 1);
  WarmUp(fixture);
  std::set<std::string> refused;
  fixture.behaviour = [&](const PartRequest& aPart) {
    if (!refused.insert(aPart.replica).second) {
      return PartBehaviour{};
    }
    fixture.Fact(aPart.replica).owner = "another-vm";
    return Failing(PartStatus::NotRun, PartRefusal::NotOwner);
  };
  BOOST_TEST(fixture.Ask().complete);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
