#include "query/tests/query_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace skylarkwing::query::test {

using namespace std::chrono_literals;
using upstream::PartRefusal;
using upstream::PartRequest;
using upstream::PartStatus;

namespace {

constexpr std::uint32_t kShards = 6;
constexpr core::Duration kTimeout = 300ms;
/** The only shard whose replicas crash; crashes on more shards would quarantine the search. */
constexpr std::uint32_t kCrashShard = 2;

PartBehaviour
FailingPart(PartStatus aStatus, PartRefusal aRefusal)
{
  PartBehaviour part;
  part.status = aStatus;
  part.refusal = aRefusal;
  part.latency = 1ms;
  return part;
}

enum class Fault
{
  Straggler,
  Lost,
  Paused,
  Cold,
  Overloaded,
  DomainOut,
  Partial,
  WrongSnapshotAnswer,
  Crash,
  Repartition,
};

constexpr Fault kFaults[] = {
  Fault::Straggler,  Fault::Lost,        Fault::Paused,  Fault::Cold,
  Fault::Overloaded, Fault::DomainOut,   Fault::Partial, Fault::WrongSnapshotAnswer,
  Fault::Crash,      Fault::Repartition,
};

/** @return the behaviour of a part under the fault, nothing when the part is not affected. */
std::optional<PartBehaviour>
Effect(Fault aFault, const PartRequest& aPart)
{
  PartBehaviour part;
  switch (aFault) {
    case Fault::Straggler:
      part.latency = 100ms;
      return part;
    case Fault::Lost:
      return FailingPart(PartStatus::Unknown, PartRefusal::ConnectionLost);
    case Fault::Paused:
      part.isSilent = true;
      return part;
    case Fault::Cold:
      return FailingPart(PartStatus::NotRun, PartRefusal::Cold);
    case Fault::Overloaded:
      return FailingPart(PartStatus::NotRun, PartRefusal::Overloaded);
    case Fault::DomainOut:
      return FailingPart(PartStatus::NotRun, PartRefusal::Unavailable);
    case Fault::Partial:
      part.isComplete = false;
      return part;
    case Fault::WrongSnapshotAnswer:
      part.hasWrongSnapshot = true;
      return part;
    case Fault::Crash:
      if (aPart.shard != kCrashShard) {
        return std::nullopt;
      }
      return FailingPart(PartStatus::Crashed, PartRefusal::ConnectionLost);
    case Fault::Repartition:
      if (aPart.snapshot != 7) {
        return std::nullopt;
      }
      return FailingPart(PartStatus::NotRun, PartRefusal::WrongSnapshot);
  }
  return std::nullopt;
}

/** Runs one query while each of two faults affects a different third of the replicas. */
struct PairTrial
{
  PairTrial(Fault aFirst, Fault aSecond, bool aIsSafeSearch)
  {
    fixture.profile.retryBudget = 1.0;
    fixture.profile.hedgeBudget = 0.2;
    fixture.AddSnapshot(7, kShards, 3);
    for (int n = 0; n < 100; ++n) {
      fixture.Ask("{}");
    }
    fixture.sent.clear();
    const bool isRepartition = aFirst == Fault::Repartition || aSecond == Fault::Repartition;
    fixture.behaviour = [this, aFirst, aSecond, isRepartition](const PartRequest& aPart) {
      if (isRepartition && fixture.Status("r0-0").holdings.size() == 1) {
        fixture.AddSnapshot(8, kShards - 1, 3);
      }
      std::optional<PartBehaviour> effect;
      if (isRepartition && aPart.snapshot == 7) {
        effect = Effect(Fault::Repartition, aPart);
      } else if (aPart.replica.ends_with("-0")) {
        effect = Effect(aFirst, aPart);
      } else if (aPart.replica.ends_with("-1")) {
        effect = Effect(aSecond, aPart);
      }
      return effect.value_or(PartBehaviour{});
    };
    result = fixture.Ask(aIsSafeSearch ? "{}" : "{\"q\":1}", kTimeout);
  }

  std::size_t Crashed() const
  {
    std::set<std::string> crashed;
    for (const SentPart& part : fixture.sent) {
      if (fixture.behaviour(part.request).status == PartStatus::Crashed) {
        crashed.insert(part.request.replica);
      }
    }
    return crashed.size();
  }

  QueryFixture fixture;
  QueryResult result;
};

/** @return whether a replica with the fault may have crashed on the search. */
bool
MayHaveCrashed(Fault aFault)
{
  return aFault == Fault::Lost || aFault == Fault::Paused || aFault == Fault::WrongSnapshotAnswer ||
         aFault == Fault::Crash || aFault == Fault::Straggler;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_pairs)

BOOST_AUTO_TEST_CASE(a_safe_search_is_answered_completely_despite_two_faults)
{
  for (const Fault first : kFaults) {
    for (const Fault second : kFaults) {
      BOOST_TEST_CONTEXT("faults " << static_cast<int>(first) << " and "
                                   << static_cast<int>(second))
      {
        PairTrial trial(first, second, true);
        BOOST_TEST((trial.fixture.latencies.back() < kTimeout));
        BOOST_TEST(trial.Crashed() <= 2U);
        const bool mayCrash = first == Fault::Crash || second == Fault::Crash;
        const auto& missing = trial.result.coverage.missing;
        const bool isOnlyCrashShard =
          mayCrash && (missing.empty() || missing == std::vector<std::uint32_t>{ kCrashShard });
        const bool isQuarantined = trial.result.refusal == QueryRefusal::Quarantined &&
                                   first == Fault::Crash && second == Fault::Crash;
        // A crash and a missing answer may be two crashes, so no third replica gets the search.
        const bool mayBeIncomplete = mayCrash && MayHaveCrashed(first) && MayHaveCrashed(second);
        BOOST_TEST((trial.result.complete || isOnlyCrashShard || isQuarantined || mayBeIncomplete));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_new_search_is_answered_completely_unless_replicas_may_have_crashed)
{
  for (const Fault first : kFaults) {
    for (const Fault second : kFaults) {
      BOOST_TEST_CONTEXT("faults " << static_cast<int>(first) << " and "
                                   << static_cast<int>(second))
      {
        PairTrial trial(first, second, false);
        BOOST_TEST((trial.fixture.latencies.back() < kTimeout));
        BOOST_TEST(trial.Crashed() <= 2U);
        const bool mayBeIncomplete = MayHaveCrashed(first) && MayHaveCrashed(second);
        const bool mayCrash = first == Fault::Crash || second == Fault::Crash;
        BOOST_TEST((trial.result.complete || mayBeIncomplete || mayCrash));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
