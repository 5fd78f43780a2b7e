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
constexpr core::Duration kPatience = 300ms;
/** The only shard whose replicas crash, because a crash everywhere is a quarantine. */
constexpr std::uint32_t kCrashShard = 2;

PartBehaviour
Failing(PartStatus aStatus, PartRefusal aRefusal)
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
  TurnedCold,
  Overloaded,
  DomainOut,
  Partial,
  Mislabelled,
  Crash,
  Repartition,
};

constexpr Fault kFaults[] = {
  Fault::Straggler, Fault::Lost,    Fault::Paused,      Fault::TurnedCold, Fault::Overloaded,
  Fault::DomainOut, Fault::Partial, Fault::Mislabelled, Fault::Crash,      Fault::Repartition,
};

/** @return what the fault does to a part, nothing when it leaves it alone. */
std::optional<PartBehaviour>
Effect(Fault aFault, const PartRequest& aPart)
{
  PartBehaviour part;
  switch (aFault) {
    case Fault::Straggler:
      part.latency = 100ms;
      return part;
    case Fault::Lost:
      return Failing(PartStatus::Unknown, PartRefusal::ConnectionLost);
    case Fault::Paused:
      part.isSilent = true;
      return part;
    case Fault::TurnedCold:
      return Failing(PartStatus::NotRun, PartRefusal::Cold);
    case Fault::Overloaded:
      return Failing(PartStatus::NotRun, PartRefusal::Overloaded);
    case Fault::DomainOut:
      return Failing(PartStatus::NotRun, PartRefusal::Unavailable);
    case Fault::Partial:
      part.isComplete = false;
      return part;
    case Fault::Mislabelled:
      part.isMislabelled = true;
      return part;
    case Fault::Crash:
      if (aPart.shard != kCrashShard) {
        return std::nullopt;
      }
      return Failing(PartStatus::Crashed, PartRefusal::ConnectionLost);
    case Fault::Repartition:
      if (aPart.snapshot != 7) {
        return std::nullopt;
      }
      return Failing(PartStatus::NotRun, PartRefusal::WrongSnapshot);
  }
  return std::nullopt;
}

/** One query while the first fault holds a third of the replicas and the second another third. */
struct PairTrial
{
  PairTrial(Fault aFirst, Fault aSecond, bool aIsKnownSearch)
  {
    fixture.profile.retryBudget = 1.0;
    fixture.profile.hedgeBudget = 0.2;
    fixture.AddVersion(7, kShards, 3);
    for (int n = 0; n < 100; ++n) {
      fixture.Ask("{}");
    }
    fixture.sent.clear();
    const bool isRepartition = aFirst == Fault::Repartition || aSecond == Fault::Repartition;
    fixture.behaviour = [this, aFirst, aSecond, isRepartition](const PartRequest& aPart) {
      if (isRepartition && fixture.Fact("r0-0").holdings.size() == 1) {
        fixture.AddVersion(8, kShards - 1, 3);
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
    result = fixture.Ask(aIsKnownSearch ? "{}" : "{\"q\":1}", kPatience);
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

/** Faults after which a replica may have crashed, so that a new search puts no third one at risk.
 */
bool
LeavesRisk(Fault aFault)
{
  return aFault == Fault::Lost || aFault == Fault::Paused || aFault == Fault::Mislabelled ||
         aFault == Fault::Crash || aFault == Fault::Straggler;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_pairs)

BOOST_AUTO_TEST_CASE(a_known_search_is_answered_in_full_through_two_faults)
{
  for (const Fault first : kFaults) {
    for (const Fault second : kFaults) {
      BOOST_TEST_CONTEXT("faults " << static_cast<int>(first) << " and "
                                   << static_cast<int>(second))
      {
        PairTrial trial(first, second, true);
        BOOST_TEST((trial.fixture.latencies.back() < kPatience));
        BOOST_TEST(trial.Crashed() <= 2U);
        const bool mayCrash = first == Fault::Crash || second == Fault::Crash;
        const auto& missing = trial.result.coverage.missing;
        const bool isOnlyCrashShard =
          mayCrash && (missing.empty() || missing == std::vector<std::uint32_t>{ kCrashShard });
        const bool isQuarantined = trial.result.refusal == QueryRefusal::Quarantined &&
                                   first == Fault::Crash && second == Fault::Crash;
        // A crash and a silence may be two crashes, so a third replica isn't put at risk.
        const bool mayStop = mayCrash && LeavesRisk(first) && LeavesRisk(second);
        BOOST_TEST((trial.result.complete || isOnlyCrashShard || isQuarantined || mayStop));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_new_search_is_answered_in_full_unless_replicas_are_at_risk)
{
  for (const Fault first : kFaults) {
    for (const Fault second : kFaults) {
      BOOST_TEST_CONTEXT("faults " << static_cast<int>(first) << " and "
                                   << static_cast<int>(second))
      {
        PairTrial trial(first, second, false);
        BOOST_TEST((trial.fixture.latencies.back() < kPatience));
        BOOST_TEST(trial.Crashed() <= 2U);
        const bool mayStop = LeavesRisk(first) && LeavesRisk(second);
        const bool mayCrash = first == Fault::Crash || second == Fault::Crash;
        BOOST_TEST((trial.result.complete || mayStop || mayCrash));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
