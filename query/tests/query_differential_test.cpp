#include "query/tests/naive_reference.h"
#include "query/tests/query_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace skylarkwing::query::test {

using namespace std::chrono_literals;
using upstream::PartRefusal;
using upstream::PartStatus;

namespace {

enum class Fault
{
  None,
  Straggler,
  Overloaded,
  Unavailable,
  Cold,
  Partial,
  /** From here on it is unknown whether the part ran. */
  Lost,
  WrongSnapshotAnswer,
  Silent,
  Crash,
};

constexpr core::Duration kTimeout = 400ms;

PartBehaviour
BehaviourOf(Fault aFault)
{
  PartBehaviour part;
  switch (aFault) {
    case Fault::None:
      break;
    case Fault::Straggler:
      part.latency = 100ms;
      break;
    case Fault::Overloaded:
      part.status = PartStatus::NotRun;
      part.refusal = PartRefusal::Overloaded;
      break;
    case Fault::Unavailable:
      part.status = PartStatus::NotRun;
      part.refusal = PartRefusal::Unavailable;
      break;
    case Fault::Cold:
      part.status = PartStatus::NotRun;
      part.refusal = PartRefusal::Cold;
      break;
    case Fault::Partial:
      part.isComplete = false;
      break;
    case Fault::Lost:
      part.status = PartStatus::Unknown;
      part.refusal = PartRefusal::ConnectionLost;
      break;
    case Fault::WrongSnapshotAnswer:
      part.hasWrongSnapshot = true;
      break;
    case Fault::Silent:
      part.isSilent = true;
      break;
    case Fault::Crash:
      part.status = PartStatus::Crashed;
      part.refusal = PartRefusal::ConnectionLost;
      break;
  }
  return part;
}

/** The fault and the state of each replica; in some states a replica gets no work. */
struct Schedule
{
  std::uint32_t shards = 0;
  std::uint32_t replicas = 0;
  std::map<std::string, Fault> faults;
  std::map<std::string, upstream::ReplicaState> states;
};

rc::Gen<Fault>
FaultGenerator(Fault aLast)
{
  const auto faulty = rc::gen::map(rc::gen::inRange(0, static_cast<int>(aLast) + 1),
                                   [](int aValue) { return static_cast<Fault>(aValue); });
  return rc::gen::weightedOneOf<Fault>({ { 2, rc::gen::just(Fault::None) }, { 3, faulty } });
}

Schedule
GenerateSchedule(Fault aLast)
{
  Schedule schedule;
  schedule.shards = *rc::gen::inRange<std::uint32_t>(1, 7);
  schedule.replicas = *rc::gen::inRange<std::uint32_t>(1, 4);
  for (std::uint32_t shard = 0; shard < schedule.shards; ++shard) {
    for (std::uint32_t n = 0; n < schedule.replicas; ++n) {
      const std::string name = "r" + std::to_string(shard) + "-" + std::to_string(n);
      schedule.faults[name] = *FaultGenerator(aLast);
      schedule.states[name] =
        *rc::gen::weightedElement<upstream::ReplicaState>({ { 8, upstream::ReplicaState::Warm },
                                                            { 1, upstream::ReplicaState::Warming },
                                                            { 1, upstream::ReplicaState::Cold },
                                                            { 1, upstream::ReplicaState::Unknown },
                                                            { 1, upstream::ReplicaState::Draining },
                                                            { 1, upstream::ReplicaState::Out },
                                                            { 1, upstream::ReplicaState::Gone } });
    }
  }
  return schedule;
}

void
ApplySchedule(const Schedule& aSchedule, QueryFixture& aFixture)
{
  aFixture.AddSnapshot(7, aSchedule.shards, aSchedule.replicas);
  for (const auto& [name, state] : aSchedule.states) {
    aFixture.Status(name).state = state;
  }
  aFixture.behaviour = [&aSchedule](const upstream::PartRequest& aPart) {
    return BehaviourOf(aSchedule.faults.at(aPart.replica));
  };
}

std::vector<std::string>
IdsOf(const std::vector<upstream::Hit>& aHits)
{
  std::vector<std::string> ids;
  ids.reserve(aHits.size());
  for (const upstream::Hit& hit : aHits) {
    ids.push_back(hit.id);
  }
  return ids;
}

bool
HasAllHits(const std::vector<std::string>& aIds, std::uint32_t aShard)
{
  const std::vector<std::string> expected = IdsOf(QueryFixture::HitsOf(7, aShard));
  return std::all_of(expected.begin(), expected.end(), [&aIds](const std::string& aId) {
    return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
  });
}

/** Checks that the coverage and the hits of an answer agree, whatever failed. */
void
CheckCoverage(const QueryResult& aResult, const NaiveAnswer& aNaive, std::uint32_t aShards)
{
  RC_ASSERT(aResult.coverage.total == aShards);
  RC_ASSERT(aResult.coverage.answered + aResult.coverage.missing.size() == aShards);
  RC_ASSERT(aResult.complete == aResult.coverage.missing.empty());
  const std::vector<std::string> ids = IdsOf(aResult.hits);
  for (const std::string& id : ids) {
    RC_ASSERT(id.starts_with("v7-"));
  }
  for (std::uint32_t shard = 0; shard < aShards; ++shard) {
    const auto& missing = aResult.coverage.missing;
    const bool isAnswered = std::find(missing.begin(), missing.end(), shard) == missing.end();
    if (isAnswered) {
      RC_ASSERT(aNaive.answered.contains(shard));
      RC_ASSERT(HasAllHits(ids, shard));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(query_differential)

BOOST_AUTO_TEST_CASE(answers_like_the_reference_while_no_part_is_lost)
{
  const bool isPassed = rc::check([] {
    const Schedule schedule = GenerateSchedule(Fault::Partial);
    QueryFixture fixture;
    fixture.profile.retryBudget = 1.0;
    ApplySchedule(schedule, fixture);
    const QueryResult result = fixture.Ask("{}", kTimeout);
    const NaiveAnswer naive =
      AskSequentially(fixture.statuses, 7, schedule.shards, fixture.behaviour);
    if (naive.answered.empty()) {
      RC_ASSERT(!result.complete);
      return;
    }
    RC_ASSERT(result.status == QueryStatus::Answered);
    CheckCoverage(result, naive, schedule.shards);
    RC_ASSERT(result.coverage.answered == naive.answered.size());
    if (result.complete) {
      RC_ASSERT(IdsOf(result.hits) == IdsOf(naive.hits));
    }
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_CASE(reports_coverage_correctly_and_in_time_whatever_fails)
{
  const bool isPassed = rc::check([] {
    const Schedule schedule = GenerateSchedule(Fault::Crash);
    QueryFixture fixture;
    ApplySchedule(schedule, fixture);
    const std::size_t queries = 3;
    for (std::size_t n = 0; n < queries; ++n) {
      fixture.StartQuery("{\"q\":" + std::to_string(n) + "}", kTimeout);
    }
    fixture.Advance(kTimeout);
    RC_ASSERT(fixture.results.size() == queries);
    const NaiveAnswer naive =
      AskSequentially(fixture.statuses, 7, schedule.shards, fixture.behaviour);
    for (const core::Duration latency : fixture.latencies) {
      RC_ASSERT(latency < kTimeout);
    }
    for (const QueryResult& result : fixture.results) {
      if (result.status == QueryStatus::Answered) {
        CheckCoverage(result, naive, schedule.shards);
      } else if (result.executed == Executed::No) {
        RC_ASSERT(result.refusal != QueryRefusal::Quarantined);
      }
    }
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_CASE(runs_work_that_is_not_idempotent_at_most_once_per_shard)
{
  const bool isPassed = rc::check([] {
    const Schedule schedule = GenerateSchedule(Fault::Crash);
    QueryFixture fixture;
    fixture.profile.idempotent = false;
    ApplySchedule(schedule, fixture);
    const QueryResult result = fixture.Ask("{}", kTimeout);
    std::size_t runs = 0;
    for (std::uint32_t shard = 0; shard < schedule.shards; ++shard) {
      RC_ASSERT(fixture.RunCount(shard) <= 1U);
      runs += fixture.RunCount(shard);
    }
    const bool isRefusedUnrun =
      result.status == QueryStatus::Refused && result.executed == Executed::No;
    RC_ASSERT(!isRefusedUnrun || runs == 0U);
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_CASE(crashes_at_most_two_replicas_with_one_search)
{
  const bool isPassed = rc::check([] {
    Schedule schedule = GenerateSchedule(Fault::Partial);
    QueryFixture fixture;
    ApplySchedule(schedule, fixture);
    fixture.behaviour = [&schedule](const upstream::PartRequest& aPart) {
      const PartBehaviour part = BehaviourOf(schedule.faults.at(aPart.replica));
      return part.status == PartStatus::NotRun ? part : BehaviourOf(Fault::Crash);
    };
    for (int n = 0; n < 4; ++n) {
      fixture.StartQuery("{\"q\":\"bad\"}", kTimeout);
    }
    fixture.Advance(kTimeout);
    std::set<std::string> crashed;
    for (const SentPart& part : fixture.sent) {
      if (fixture.behaviour(part.request).status == PartStatus::Crashed) {
        crashed.insert(part.request.replica);
      }
    }
    RC_ASSERT(crashed.size() <= 2U);
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
