#include "store/configuration_watch.h"

#include "declaration/tests/declaration_fixture.h"
#include "store/tests/fake_store.h"
#include "store/tests/virtual_loop.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace skylarkwing::store {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** The parts of a daemon that use the store. */
struct TestDaemon
{
  TestDaemon(VirtualLoop& aLoop, FakeStore& aStore, std::uint64_t aSeed)
    : random(aSeed)
    , client(aLoop.timers, random, metrics, { aStore.Endpoint() })
    , configurations(aLoop.timers, random, client, [this] { return keeper.InForce(); })
    , watch(aLoop.timers,
            random,
            metrics,
            client,
            configurations,
            keeper,
            { [this] { return isWatcher; },
              [this] { return isConfirmationNeeded; },
              [this] { return members; } })
  {
  }

  core::RandomSource random;
  core::Metrics metrics;
  StoreClient client;
  declaration::ConfigurationKeeper keeper;
  ConfigurationStore configurations;
  bool isWatcher = true;
  bool isConfirmationNeeded = false;
  std::size_t members = 8;
  ConfigurationWatch watch;

  bool HasRefused(const std::string& aReason) const
  {
    const std::string series =
      "skylarkwing_store_documents_refused_total{reason=\"" + aReason + "\"}";
    return metrics.Render().find(series) != std::string::npos;
  }
};

std::string
Document(std::uint64_t aGeneration, const std::string& aWriteId = "w")
{
  declaration::Configuration configuration;
  configuration.generation = aGeneration;
  configuration.writeId = aWriteId;
  configuration.declaration = declaration::SmallDeclaration();
  return declaration::ConfigurationToText(configuration);
}

struct Fixture
{
  VirtualLoop loop;
  FakeStore fake{ loop.timers };
  TestDaemon daemon{ loop, fake, 7 };

  void Put(std::uint64_t aGeneration) { fake.PutValue(kConfigurationKey, Document(aGeneration)); }

  void Start(core::Duration aSpan)
  {
    daemon.watch.Start(loop.io.get_executor());
    loop.Run(aSpan);
  }
};

/** @return calls in ten minutes without changes, with two watchers in each of 3 failure domains. */
int
CountIdleCalls(std::size_t aMembers)
{
  constexpr std::size_t kWatchers = 6;
  VirtualLoop loop;
  FakeStore fake(loop.timers);
  fake.PutValue(kConfigurationKey, Document(1));
  std::vector<std::unique_ptr<TestDaemon>> daemons;
  for (std::size_t n = 0; n < aMembers; ++n) {
    daemons.push_back(std::make_unique<TestDaemon>(loop, fake, n));
    daemons.back()->isWatcher = n < kWatchers;
    daemons.back()->members = aMembers;
    daemons.back()->watch.Start(loop.io.get_executor());
  }
  loop.Run(std::chrono::minutes{ 5 });
  const int before = fake.Calls();
  loop.Run(std::chrono::minutes{ 10 });
  return fake.Calls() - before;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_watch, Fixture)

BOOST_AUTO_TEST_CASE(a_change_reaches_watchers_at_once_and_others_by_polling)
{
  Put(1);
  Start(seconds{ 1 });
  BOOST_TEST(daemon.keeper.Generation() == 1);
  BOOST_TEST(daemon.watch.LastConfirmed().has_value());
  Put(2);
  loop.Run(milliseconds{ 1 });
  BOOST_TEST(daemon.keeper.Generation() == 2);

  TestDaemon other(loop, fake, 8);
  other.isWatcher = false;
  other.members = 2;
  other.watch.Start(loop.io.get_executor());
  loop.Run(seconds{ 1 });
  Put(3);
  loop.Run(seconds{ 10 });
  BOOST_TEST(other.keeper.Generation() == 2);
  loop.Run(seconds{ 70 });
  BOOST_TEST(other.keeper.Generation() == 3);
}

BOOST_AUTO_TEST_CASE(changes_missed_by_a_watch_are_recovered_with_and_without_compaction)
{
  Put(1);
  Start(seconds{ 1 });
  for (const bool isCompacting : { false, true }) {
    fake.CloseWatches(false);
    Put(daemon.keeper.Generation() + 1);
    fake.CloseWatches(isCompacting);
    const std::uint64_t wanted = daemon.keeper.Generation() + 1;
    loop.Run(seconds{ 3 });
    BOOST_TEST(daemon.keeper.Generation() == wanted);
  }
}

BOOST_AUTO_TEST_CASE(invalid_documents_are_refused_and_the_configuration_in_force_stays)
{
  Put(5);
  Start(seconds{ 1 });
  const auto refuse = [this](const std::string& aDocument, const std::string& aReason) {
    fake.PutValue(kConfigurationKey, aDocument);
    loop.Run(milliseconds{ 10 });
    BOOST_TEST(daemon.keeper.Generation() == 5);
    BOOST_TEST(daemon.HasRefused(aReason), aReason);
  };
  refuse("no json", "damaged");
  refuse(Document(4), "older");
  refuse(Document(5, "somebody-else"), "other_history");
  std::string foreign = Document(9);
  foreign.replace(foreign.find("\"test\""), 6, "\"elsewhere\"");
  refuse(foreign, "other_deployment");
  const auto confirmed = daemon.watch.LastConfirmed();
  loop.Run(seconds{ 200 });
  BOOST_TEST((daemon.watch.LastConfirmed() == confirmed));

  fake.Erase(kConfigurationKey);
  loop.Run(seconds{ 200 });
  BOOST_TEST(daemon.HasRefused("missing"));
  BOOST_TEST((daemon.watch.LastConfirmed() == confirmed));
  Put(6);
  loop.Run(seconds{ 100 });
  BOOST_TEST(daemon.keeper.Generation() == 6);
  BOOST_TEST((daemon.watch.LastConfirmed() > confirmed));
}

BOOST_AUTO_TEST_CASE(a_store_restored_from_a_backup_is_detected_and_watched_again)
{
  fake.revision = 50;
  Put(3);
  Start(seconds{ 1 });
  fake.Restore(1);
  Put(2);
  loop.Run(seconds{ 200 });
  BOOST_TEST(daemon.keeper.Generation() == 3);
  BOOST_TEST(daemon.HasRefused("older"));
  Put(4);
  loop.Run(milliseconds{ 10 });
  BOOST_TEST(daemon.keeper.Generation() == 4);
}

BOOST_AUTO_TEST_CASE(a_document_is_taken_whose_revision_a_restored_store_has_assigned_again)
{
  fake.revision = 50;
  Put(3);
  Start(seconds{ 1 });
  fake.Restore(50);
  Put(4);
  loop.Run(seconds{ 200 });
  BOOST_TEST(daemon.keeper.Generation() == 4);
  Put(5);
  loop.Run(milliseconds{ 10 });
  BOOST_TEST(daemon.keeper.Generation() == 5);
}

BOOST_AUTO_TEST_CASE(a_late_read_does_not_undo_what_the_watch_delivered)
{
  Put(1);
  Start(seconds{ 1 });
  fake.PutValue(kConfigurationKey, "damaged");
  loop.Run(milliseconds{ 10 });
  fake.answerDelay = seconds{ 1 };
  TestDaemon late(loop, fake, 9);
  late.watch.Start(loop.io.get_executor());
  loop.Run(milliseconds{ 1500 });
  Put(2);
  // The read was sent before this change and returns the damaged document.
  loop.Run(seconds{ 5 });
  BOOST_TEST(late.keeper.Generation() == 2);
  BOOST_TEST(late.metrics.Render().find("skylarkwing_store_document_is_refused 0") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_newer_generation_from_a_peer_does_not_make_the_read_document_refused)
{
  Put(1);
  fake.answerDelay = seconds{ 1 };
  Start(milliseconds{ 1500 });
  // The read of generation 1 is still in progress.
  daemon.keeper.Offer(declaration::ParseConfiguration(Document(2)).configuration.value(), "peer");
  loop.Run(seconds{ 1 });
  BOOST_TEST(daemon.keeper.Generation() == 2);
  BOOST_TEST(daemon.watch.LastConfirmed().has_value());
  BOOST_TEST(!daemon.HasRefused("older"));
}

BOOST_AUTO_TEST_CASE(confirmations_come_every_second_while_they_are_needed)
{
  Put(1);
  Start(seconds{ 10 });
  daemon.isConfirmationNeeded = true;
  loop.Run(seconds{ 2 });
  for (int n = 0; n < 10; ++n) {
    loop.Run(milliseconds{ 900 });
    BOOST_TEST((loop.timers.Now() - *daemon.watch.LastConfirmed() <= milliseconds{ 1500 }));
  }
  fake.isDown = true;
  const auto last = daemon.watch.LastConfirmed();
  loop.Run(seconds{ 10 });
  BOOST_TEST((daemon.watch.LastConfirmed() <= *last + seconds{ 1 }));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_starts_in_an_outage_reads_when_it_ends)
{
  Put(1);
  fake.isDown = true;
  Start(seconds{ 3600 });
  BOOST_TEST(daemon.keeper.Generation() == 0);
  fake.isDown = false;
  loop.Run(seconds{ 12 });
  BOOST_TEST(daemon.keeper.Generation() == 1);
}

BOOST_AUTO_TEST_CASE(the_end_of_a_long_outage_causes_no_burst_of_calls)
{
  constexpr std::size_t kMembers = 200;
  Put(1);
  std::vector<std::unique_ptr<TestDaemon>> daemons;
  for (std::size_t n = 0; n < kMembers; ++n) {
    daemons.push_back(std::make_unique<TestDaemon>(loop, fake, n));
    daemons.back()->members = kMembers;
    daemons.back()->watch.Start(loop.io.get_executor());
  }
  loop.Run(seconds{ 10 });
  fake.isDown = true;
  fake.CloseWatches(true);
  loop.Run(hours{ 3 });
  Put(2);
  fake.isDown = false;
  int most = 0;
  for (int n = 0; n < 20; ++n) {
    const int before = fake.Calls();
    loop.Run(seconds{ 1 });
    most = std::max(most, fake.Calls() - before);
  }
  // All these daemons watch: each needs one read and one watch within ten seconds.
  BOOST_TEST(most <= static_cast<int>(2 * kMembers) / 4);
  for (const auto& it : daemons) {
    BOOST_TEST(it->keeper.Generation() == 2);
  }
}

BOOST_AUTO_TEST_CASE(calls_do_not_grow_in_proportion_to_the_fleet)
{
  // Six daemons watch: in ten minutes each opens about ten watches and polls ten times. All others
  // together poll at most every eight seconds, with a fifth of jitter.
  const int watchers = 6 * (13 + 13);
  const int others = 600 / 8 * 13 / 10;
  for (const std::size_t members : { 2, 4, 8, 16, 32, 200 }) {
    const int calls = CountIdleCalls(members);
    BOOST_TEST_MESSAGE("calls in 600 s of " << members << " daemons: " << calls);
    BOOST_TEST(calls <= watchers + others);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store
