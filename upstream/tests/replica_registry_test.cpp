#include "upstream/replica_registry.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;

/** A registry with the sets of replicas that may get requests and that drain. */
struct RegistryFixture
{
  std::set<std::string> usable;
  std::set<std::string> draining;
  ReplicaChange lastChange = ReplicaChange::None;
  core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  ReplicaRegistry registry{ [this](const AnnouncedReplica& aReplica, ReplicaChange aChange) {
                             lastChange = aChange;
                             usable.insert(aReplica.id);
                             draining.erase(aReplica.id);
                             if (aReplica.isDraining) {
                               draining.insert(aReplica.id);
                             }
                           },
                            [this](const std::string& aId) { usable.erase(aId); } };

  void Announce(const std::string& aId,
                std::uint64_t aStartedAt,
                std::uint64_t aSequence,
                bool aIsDraining = false)
  {
    AnnouncedReplica replica;
    replica.id = aId;
    replica.service = "s";
    replica.startedAt = aStartedAt;
    replica.sequence = aSequence;
    replica.isDraining = aIsDraining;
    registry.Announce(replica);
  }

  void Pass(milliseconds aSpan)
  {
    now += aSpan;
    registry.Expire(now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_registry, RegistryFixture)

BOOST_AUTO_TEST_CASE(a_replica_that_left_is_not_used_again_when_a_restored_store_lists_it)
{
  Announce("drained", 5, 9, true);
  Announce("stays", 5, 9);
  Announce("left", 5, 9);
  registry.OnEntryRemoved("drained", now);
  registry.OnEntryRemoved("left", now);
  registry.OnStoreRestored(now);
  Announce("drained", 5, 3);
  Announce("left", 5, 9);
  Announce("stays", 5, 3);
  Pass(milliseconds{ 3600 });
  BOOST_TEST((usable == std::set<std::string>{ "stays" }));
  registry.OnEntryRemoved("drained", now);
  registry.OnEntryRemoved("left", now);
  Pass(milliseconds{ 10000 });
  BOOST_TEST((usable == std::set<std::string>{ "stays" }));
}

BOOST_AUTO_TEST_CASE(a_replica_that_drains_goes_on_draining_when_a_restored_store_lists_it_as_ready)
{
  Announce("a", 5, 9, true);
  registry.OnStoreRestored(now);
  Announce("a", 5, 3);
  BOOST_TEST(draining.count("a") == 1U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_is_alive_after_a_restore_is_used_again)
{
  for (const char* id : { "writes-again", "restarted", "still-listed" }) {
    Announce(id, 5, 9);
    registry.OnEntryRemoved(id, now);
  }
  registry.OnStoreRestored(now);
  Announce("writes-again", 5, 3);
  Announce("writes-again", 5, 10);
  Announce("restarted", 6, 1);
  Announce("still-listed", 5, 3);
  BOOST_TEST((usable == std::set<std::string>{ "writes-again", "restarted" }));
  Pass(milliseconds{ 6000 });
  BOOST_TEST(usable.count("still-listed") == 1U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_a_restore_has_lost_is_held_though_no_outage_was_seen)
{
  Announce("back", 5, 1);
  Announce("gone", 5, 1);
  registry.OnStoreRestored(now);
  registry.Reconcile([](const std::string&) { return false; }, now);
  BOOST_TEST(usable.size() == 2U);
  Pass(milliseconds{ 2000 });
  Announce("back", 5, 2);
  Pass(milliseconds{ 1000 });
  BOOST_TEST((usable == std::set<std::string>{ "back" }));
}

BOOST_AUTO_TEST_CASE(reports_what_an_announcement_changes)
{
  Announce("a", 5, 1);
  BOOST_TEST((lastChange == ReplicaChange::New));
  Announce("a", 5, 2);
  BOOST_TEST((lastChange == ReplicaChange::None));
  Announce("a", 5, 3, true);
  BOOST_TEST((lastChange == ReplicaChange::Draining));
  Announce("a", 5, 4);
  BOOST_TEST((lastChange == ReplicaChange::Serving));
  Announce("a", 6, 1);
  BOOST_TEST((lastChange == ReplicaChange::Restarted));
}

BOOST_AUTO_TEST_CASE(a_vanished_entry_removes_its_replica_at_once_while_the_store_answers)
{
  Announce("a", 5, 1);
  registry.OnEntryRemoved("a", now);
  BOOST_TEST(usable.empty());
}

BOOST_AUTO_TEST_CASE(entries_that_vanish_in_an_outage_are_held_until_replicas_can_announce_again)
{
  Announce("back", 5, 1);
  Announce("gone", 5, 1);
  registry.OnStoreUnreachable();
  Pass(milliseconds{ 9000 });
  registry.OnEntryRemoved("back", now);
  registry.OnEntryRemoved("gone", now);
  Pass(milliseconds{ 9000 });
  BOOST_TEST(usable.size() == 2U);

  registry.OnStoreReachable(now);
  Pass(milliseconds{ 2000 });
  Announce("back", 5, 9);
  BOOST_TEST(usable.size() == 2U);
  Pass(milliseconds{ 600 });
  BOOST_TEST(usable == std::set<std::string>{ "back" }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entries_missing_from_a_read_after_an_outage_are_held_too)
{
  Announce("a", 5, 1);
  registry.OnStoreUnreachable();
  registry.OnStoreReachable(now);
  registry.Reconcile([](const std::string&) { return false; }, now);
  BOOST_TEST(usable.size() == 1U);
  Pass(milliseconds{ 2500 });
  BOOST_TEST(usable.empty());
}

BOOST_AUTO_TEST_CASE(after_the_hold_time_vanished_entries_count_at_once)
{
  Announce("a", 5, 1);
  registry.OnStoreUnreachable();
  registry.OnStoreReachable(now);
  Pass(milliseconds{ 3000 });
  registry.OnEntryRemoved("a", now);
  BOOST_TEST(usable.empty());
}

BOOST_AUTO_TEST_CASE(a_draining_replica_is_never_held)
{
  Announce("a", 5, 1, true);
  registry.OnStoreUnreachable();
  registry.OnEntryRemoved("a", now);
  BOOST_TEST(usable.empty());
}

BOOST_AUTO_TEST_CASE(late_announcements_dont_undo_a_drain)
{
  Announce("a", 5, 7, true);
  Announce("a", 5, 6);
  BOOST_TEST(draining.count("a") == 1U);
  Announce("a", 4, 99);
  BOOST_TEST(draining.count("a") == 1U);
  // A new process under the same id starts a new sequence.
  Announce("a", 6, 1);
  BOOST_TEST(draining.count("a") == 0U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_entry_names_no_replica)
{
  Announce("a", 5, 1);
  registry.RejectEntry("a");
  BOOST_TEST(usable.empty());
  Announce("a", 5, 2);
  BOOST_TEST(usable.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
