#include "rollout/tests/rollout_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace skylarkwing::rollout::tests {

namespace {

namespace data = boost::unit_test::data;

const std::vector<std::size_t> kSizes{ 7, 60, 300 };

/** A version that is bad, and how. */
struct BadVersion
{
  const char* name;
  std::function<Answer(const Meeting&)> answer;
};

bool
IsNew(const Meeting& aMeeting)
{
  return aMeeting.version == "v2";
}

const std::vector<BadVersion> kBadVersions{
  { "fails at once",
    [](const Meeting& aMeeting) {
      return Answer{ IsNew(aMeeting), 10.0 };
    } },
  { "fails later",
    [](const Meeting& aMeeting) {
      return Answer{ IsNew(aMeeting) && aMeeting.seconds > 30.0, 10.0 };
    } },
  { "fails under load",
    [](const Meeting& aMeeting) {
      return Answer{ IsNew(aMeeting) && aMeeting.isLoaded, 10.0 };
    } },
  { "is five times slower",
    [](const Meeting& aMeeting) {
      return Answer{ false, IsNew(aMeeting) ? 50.0 : 10.0 };
    } },
  { "fails on one route",
    [](const Meeting& aMeeting) {
      return Answer{ IsNew(aMeeting) && aMeeting.route == "order", 10.0 };
    } },
  { "fails every other time",
    [n = 0](const Meeting& aMeeting) mutable {
      return Answer{ IsNew(aMeeting) && ++n % 2 == 0, 10.0 };
    } },
};

std::ostream&
operator<<(std::ostream& aStream, const BadVersion& aVersion)
{
  return aStream << aVersion.name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout)

// Guards against a bound that holds for one daemon but not for the sum over many, and against a bad
// version that is completed.
BOOST_DATA_TEST_CASE(a_bad_version_is_reverted_within_the_bound,
                     data::make(kSizes) * data::make(kBadVersions),
                     daemons,
                     version)
{
  for (const double rate : { 21.0, 100.0 }) {
    Fleet fleet(daemons, rate);
    fleet.answer = version.answer;
    fleet.Order("v2");
    fleet.RunToEnd(70.0);
    BOOST_TEST_MESSAGE(daemons << " daemons, " << rate << "/s, " << version.name << ": exposed "
                               << fleet.exposed << " of " << fleet.requests << ", bad "
                               << fleet.bad);
    BOOST_TEST((fleet.Phase() == RolloutPhase::Reverted));
    BOOST_TEST((fleet.endedAt && *fleet.endedAt <= kStart + fleet.duration));
    BOOST_TEST(fleet.IsWithinBound());
    BOOST_TEST(fleet.late == 0U);
  }
}

// Guards against rollouts of good versions that aren't completed in time, or too early.
BOOST_DATA_TEST_CASE(a_good_version_is_completed_by_the_deadline,
                     data::make(kSizes) * data::make({ 20, 60, 200 }),
                     daemons,
                     duration)
{
  Fleet fleet(daemons);
  fleet.duration = seconds{ duration };
  fleet.Order("v2");
  fleet.RunUntil(duration + 2.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
  BOOST_TEST((fleet.endedAt && *fleet.endedAt <= kStart + fleet.duration - milliseconds{ 300 }));
  BOOST_TEST(fleet.IsWithinBound());
  for (const auto& daemon : fleet.daemons) {
    BOOST_TEST(daemon->RuleOf("single")->serving == "v2");
  }
}

// Guards against verdicts on a good version for trouble that isn't its own.
BOOST_AUTO_TEST_CASE(trouble_that_is_not_the_versions_own_convicts_none)
{
  const std::vector<BadVersion> troubles{
    { "the whole fleet fails for a while",
      [](const Meeting& aMeeting) {
        return Answer{ aMeeting.seconds > 20.0 && aMeeting.seconds < 30.0, 10.0 };
      } },
    { "the whole fleet is slow during the shift",
      [](const Meeting& aMeeting) {
        return Answer{ false, aMeeting.seconds > 55.0 ? 60.0 : 10.0 };
      } },
    { "one old replica is slow and fails",
      [](const Meeting& aMeeting) {
        const bool isIll = !IsNew(aMeeting) && aMeeting.domain == "domain-1";
        return Answer{ isIll && aMeeting.seconds > 40.0, isIll ? 87.0 : 10.0 };
      } },
    { "one domain is slow",
      [](const Meeting& aMeeting) {
        return Answer{ false, aMeeting.domain == "domain-2" ? 80.0 : 10.0 };
      } },
    { "one new replica is slow",
      [](const Meeting& aMeeting) {
        return Answer{ false, IsNew(aMeeting) && aMeeting.domain == "domain-0" ? 80.0 : 10.0 };
      } },
  };
  for (const BadVersion& trouble : troubles) {
    BOOST_TEST_CONTEXT(trouble.name)
    {
      Fleet fleet(60);
      fleet.answer = trouble.answer;
      fleet.Order("v2");
      fleet.RunUntil(62.0);
      BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
    }
  }
}

// Guards against a rollout that ends with the daemon that judges.
BOOST_AUTO_TEST_CASE(another_daemon_takes_over_when_the_judge_vanishes)
{
  for (const double at : { 10.0, 55.0, 57.0 }) {
    Fleet fleet(7);
    fleet.Order("v2");
    fleet.RunUntil(at);
    fleet.dead = { 0, 1 };
    fleet.RunUntil(62.0);
    BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
    BOOST_TEST((fleet.endedAt && *fleet.endedAt <= kStart + fleet.duration));
  }
}

// Guards against a second trial share after a restart, and a deadline that begins again.
BOOST_AUTO_TEST_CASE(a_fleet_that_restarts_goes_on_where_it_was)
{
  Fleet fleet(60);
  fleet.Order("v2");
  for (const double at : { 20.0, 40.0 }) {
    fleet.RunUntil(at);
    for (std::size_t n = 0; n < fleet.daemons.size(); ++n) {
      fleet.Restart(n);
    }
  }
  fleet.RunUntil(62.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
  BOOST_TEST((fleet.endedAt && *fleet.endedAt <= kStart + fleet.duration));
  BOOST_TEST(fleet.IsWithinBound());
}

// Guards against daemons that shift alone, or send on after the others have seen a verdict.
BOOST_AUTO_TEST_CASE(daemons_without_word_of_the_others_keep_the_bound)
{
  Fleet fleet(60);
  fleet.answer = [](const Meeting& aMeeting) {
    return Answer{ IsNew(aMeeting) && aMeeting.seconds > 30.0, 10.0 };
  };
  for (std::size_t n = 0; n < 60; ++n) {
    fleet.cut.insert(n);
  }
  fleet.Order("v2");
  fleet.RunUntil(62.0);
  BOOST_TEST((fleet.Phase() != RolloutPhase::Completed));
  BOOST_TEST(fleet.IsWithinBound());
  BOOST_TEST(fleet.late == 0U);
}

// Guards against a bad version that goes on while the verdict can't be written.
BOOST_AUTO_TEST_CASE(a_verdict_has_effect_and_is_written_later_while_the_store_is_down)
{
  Fleet fleet(60);
  fleet.answer = kBadVersions.front().answer;
  fleet.Order("v2");
  fleet.RunUntil(1.0);
  fleet.isStoreDown = true;
  fleet.RunUntil(40.0);
  BOOST_TEST(fleet.late == 0U);
  BOOST_TEST(fleet.IsWithinBound());
  fleet.isStoreDown = false;
  fleet.RunUntil(42.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Reverted));
}

// Guards against a good version that is reverted, or never completed, since the store was away.
BOOST_AUTO_TEST_CASE(a_good_version_is_completed_late_when_the_store_is_away_at_the_deadline)
{
  Fleet fleet(7);
  fleet.Order("v2");
  fleet.RunUntil(50.0);
  fleet.isStoreDown = true;
  fleet.RunUntil(65.0);
  BOOST_TEST(fleet.IsWithinBound());
  fleet.isStoreDown = false;
  fleet.RunUntil(66.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
}

// Guards against verdicts that a restored store has lost, and with them the version in service.
BOOST_AUTO_TEST_CASE(a_verdict_that_a_restored_store_has_lost_is_written_again)
{
  for (const bool isGood : { true, false }) {
    Fleet fleet(7);
    if (!isGood) {
      fleet.answer = kBadVersions.front().answer;
    }
    fleet.Order("v2");
    fleet.RunUntil(1.0);
    const auto copy = fleet.record;
    fleet.RunUntil(62.0);
    const RolloutPhase outcome = fleet.Phase();
    for (const bool isLost : { true, false }) {
      fleet.record = isLost ? std::nullopt : copy;
      fleet.recordRevision = isLost ? 0 : fleet.recordRevision;
      fleet.Publish();
      fleet.RunUntil(fleet.Elapsed() + 5.0);
      BOOST_TEST((fleet.Phase() == outcome));
      BOOST_TEST(fleet.daemons[3]->RuleOf("single")->serving == (isGood ? "v2" : "v1"));
    }
  }
}

// Guards against requests that no order allows, before an order and after its withdrawal.
BOOST_AUTO_TEST_CASE(only_an_order_allows_a_version)
{
  Fleet fleet(7);
  fleet.RunUntil(5.0);
  BOOST_TEST(fleet.exposed == 0U);
  fleet.Order("v2");
  fleet.RunUntil(20.0);
  BOOST_TEST(fleet.exposed > 0U);
  fleet.order = {};
  for (const auto& daemon : fleet.daemons) {
    daemon->RemoveOrder("single");
  }
  const std::uint64_t before = fleet.exposed;
  fleet.RunUntil(70.0);
  BOOST_TEST(fleet.exposed == before);
  fleet.Order("v2");
  fleet.RunUntil(62.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
}

// Guards against a replaced order whose rollout goes on with the time and evidence of the first.
BOOST_AUTO_TEST_CASE(a_replaced_order_begins_again)
{
  Fleet fleet(7);
  fleet.Order("v3");
  fleet.RunUntil(50.0);
  fleet.Order("v2");
  fleet.RunUntil(30.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Trial));
  BOOST_TEST(fleet.record->target == "v2");
  fleet.RunUntil(62.0);
  BOOST_TEST((fleet.Phase() == RolloutPhase::Completed));
}

// Guards against evidence or phases that one rollout takes from another.
BOOST_AUTO_TEST_CASE(two_rollouts_at_once_are_independent)
{
  RolloutControl control("vm-1", {}, {});
  control.SetRecordsRead();
  for (const std::string service : { "one", "two" }) {
    for (const std::string version : { "v1", "v2" }) {
      upstream::AnnouncedReplica replica;
      replica.id = service + version;
      replica.service = service;
      replica.version = version;
      replica.startedAt = version == "v1" ? 100 : 200;
      control.AddReplica(replica);
    }
    control.SetOrder({ service, "v2", seconds{ 60 }, 5 }, false, kStart);
  }
  control.Review(kStart, kWallMs);
  for (int n = 0; n < 200; ++n) {
    for (const std::string service : { "one", "two" }) {
      const std::string version = n % 4 == 0 ? "v2" : "v1";
      const bool hasFailed = service == "one" && version == "v2";
      control.RecordSample(
        { service, "lookup", version, "domain-0", hasFailed, milliseconds{ 10 } }, kStart);
    }
  }
  const auto writes = control.Review(kStart + seconds{ 1 }, kWallMs);
  BOOST_REQUIRE(writes.size() == 2U);
  BOOST_TEST(
    (writes.front().service == "one" && writes.front().record.phase == RolloutPhase::Reverted));
  BOOST_TEST((writes.back().record.phase == RolloutPhase::Trial));
  BOOST_TEST(!control.RuleOf("one")->candidate.has_value());
  BOOST_TEST((control.RuleOf("two")->candidate == "v2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::rollout::tests
