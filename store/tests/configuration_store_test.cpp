#include "store/configuration_store.h"

#include "declaration/tests/declaration_fixture.h"
#include "store/tests/fake_store.h"
#include "store/tests/virtual_loop.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::store {

namespace {

using std::chrono::seconds;

struct Fixture
{
  VirtualLoop loop;
  FakeStore fake{ loop.timers };
  core::RandomSource random{ 7 };
  core::Metrics metrics;
  StoreClient client{ loop.timers, random, metrics, { fake.Endpoint() } };
  std::shared_ptr<const declaration::Configuration> inForce;
  ConfigurationStore configurations{ loop.timers, random, client, [this] { return inForce; } };

  /** A change that takes a failure domain out; at generation 0 only the first declaration. */
  static ConfigurationChange Change(std::uint64_t aExpected, std::size_t aDomain = 0)
  {
    ConfigurationChange change;
    change.declaration = declaration::SmallDeclaration();
    change.declaration.failureDomains[aDomain].out = aExpected > 0;
    change.expectedGeneration = aExpected;
    change.author = "ada";
    change.reason = "storm";
    return change;
  }

  WriteResult Write(ConfigurationChange aChange, core::Duration aLimit = seconds{ 10 })
  {
    return loop.Await(configurations.Write(std::move(aChange), aLimit));
  }

  StoredConfiguration Read() { return loop.Await(configurations.Read(seconds{ 10 })); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_store, Fixture)

BOOST_AUTO_TEST_CASE(generations_count_up_and_leave_records)
{
  BOOST_TEST((Read().status == StoredStatus::Absent));
  BOOST_TEST((Write(Change(0)).outcome == WriteOutcome::Accepted));
  const WriteResult second = Write(Change(1));
  BOOST_TEST((second.outcome == WriteOutcome::Accepted));
  BOOST_TEST(second.generation == 2);
  const StoredConfiguration stored = Read();
  BOOST_REQUIRE((stored.status == StoredStatus::Valid));
  BOOST_TEST(stored.configuration.declaration.failureDomains[0].out);
  BOOST_REQUIRE(stored.configuration.history.size() == 2);
  BOOST_TEST(stored.configuration.history[1].changes.front().find("Ikeja goes out") !=
             std::string::npos);
  BOOST_TEST((Write(Change(2)).outcome == WriteOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_after_the_write_took_effect_is_accepted_once)
{
  Write(Change(0));
  fake.answersToLose = 1;
  const WriteResult result = Write(Change(1));
  BOOST_TEST((result.outcome == WriteOutcome::Accepted));
  BOOST_TEST(result.generation == 2);
  BOOST_TEST(Read().configuration.generation == 2);
}

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_answer_is_found_in_the_history_of_a_later_write)
{
  Write(Change(0));
  fake.answersToLose = 1;
  const auto first = loop.Begin(configurations.Write(Change(1), seconds{ 10 }));
  loop.Run(std::chrono::milliseconds{ 10 });
  BOOST_REQUIRE(!first->has_value());
  // Another operator builds on the write whose answer is still missing.
  ConfigurationChange other = Change(2, 1);
  other.declaration.failureDomains[0].out = true;
  const WriteResult later = Write(std::move(other));
  BOOST_TEST((later.outcome == WriteOutcome::Accepted));
  loop.Run(seconds{ 10 });
  BOOST_REQUIRE(first->has_value());
  BOOST_TEST((first->value().outcome == WriteOutcome::Accepted));
  BOOST_TEST(first->value().generation == 2);
  BOOST_TEST(Read().configuration.generation == 3);
}

BOOST_AUTO_TEST_CASE(a_write_that_was_lost_before_it_took_effect_is_sent_again)
{
  Write(Change(0));
  fake.writesToLose = 1;
  BOOST_TEST((Write(Change(1)).outcome == WriteOutcome::Accepted));
  BOOST_TEST(Read().configuration.generation == 2);
}

BOOST_AUTO_TEST_CASE(of_two_concurrent_writes_one_is_accepted_and_the_other_gets_the_conflict)
{
  Write(Change(0));
  const auto first = loop.Begin(configurations.Write(Change(1, 0), seconds{ 10 }));
  const auto second = loop.Begin(configurations.Write(Change(1, 1), seconds{ 10 }));
  loop.Run(seconds{ 10 });
  BOOST_REQUIRE((first->has_value() && second->has_value()));
  BOOST_TEST((first->value().outcome == WriteOutcome::Accepted));
  BOOST_TEST((second->value().outcome == WriteOutcome::Conflict));
  BOOST_REQUIRE(second->value().conflicts.size() == 1);
  BOOST_TEST(second->value().conflicts[0].changes.front().find("Ikeja") != std::string::npos);
  BOOST_TEST((Write(Change(1, 1)).outcome == WriteOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(a_race_between_read_and_write_is_a_conflict)
{
  Write(Change(0));
  const std::string stored = fake.Find(kConfigurationKey)->value;
  fake.beforeTransaction = [&] { fake.PutValue(kConfigurationKey, stored); };
  BOOST_TEST((Write(Change(1)).outcome == WriteOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(an_outage_is_unavailable_before_and_unknown_after_the_write_was_sent)
{
  Write(Change(0));
  fake.isDown = true;
  BOOST_TEST((Write(Change(1)).outcome == WriteOutcome::Unavailable));
  loop.Run(seconds{ 30 });
  fake.isDown = false;
  fake.answersToLose = 1;
  fake.beforeTransaction = [this] {
    loop.timers.Schedule(seconds{ 1 }, [this] { fake.isDown = true; });
  };
  const WriteResult result = Write(Change(1));
  BOOST_TEST((result.outcome == WriteOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(faulty_and_undecodable_documents_are_never_written)
{
  ConfigurationChange faulty = Change(0);
  faulty.declaration.profiles[0].indexes[0] = "elsewhere";
  const WriteResult refused = Write(std::move(faulty));
  BOOST_TEST((refused.outcome == WriteOutcome::Refused));
  BOOST_TEST(refused.faults.size() == 1);

  ConfigurationChange unreadable = Change(0);
  unreadable.declaration.failureDomains[0].reason = std::string(2000, 'x');
  const WriteResult notWritten = Write(std::move(unreadable));
  BOOST_TEST((notWritten.outcome == WriteOutcome::Refused));

  ConfigurationChange large = Change(0);
  auto& services = large.declaration.indexes[0].services;
  for (int n = 0; n < 12'000; ++n) {
    services[0].replicas.push_back(
      { "replica-with-a-long-name-" + std::to_string(n),
        "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":7000",
        "Ikeja" });
  }
  const WriteResult tooLarge = Write(std::move(large));
  BOOST_TEST((tooLarge.outcome == WriteOutcome::Refused));
  BOOST_TEST(tooLarge.reason.find("bytes") != std::string::npos);
  BOOST_TEST(fake.Find(kConfigurationKey) == nullptr);
}

BOOST_AUTO_TEST_CASE(the_history_is_bounded)
{
  for (std::uint64_t n = 0; n < kMaxHistoryLength + 5; ++n) {
    ConfigurationChange change = Change(n);
    change.declaration.failureDomains[0].out = n % 2 == 1;
    loop.Run(seconds{ 1 });
    const WriteResult result = Write(std::move(change));
    BOOST_REQUIRE((result.outcome == WriteOutcome::Accepted));
  }
  const StoredConfiguration stored = Read();
  BOOST_TEST(stored.configuration.history.size() == kMaxHistoryLength);
  BOOST_TEST(stored.configuration.history.back().generation == kMaxHistoryLength + 5);
}

BOOST_AUTO_TEST_CASE(a_damaged_or_older_document_is_overwritten_only_to_repair_it)
{
  Write(Change(0));
  Write(Change(1));
  inForce = std::make_shared<declaration::Configuration>(Read().configuration);
  const std::vector<std::string> documents{ "{\"generation\": 7", "{}" };
  for (const std::string& document : documents) {
    fake.PutValue(kConfigurationKey, document);
    BOOST_TEST((Write(Change(2, 1)).outcome == WriteOutcome::Refused));
  }
  ConfigurationChange repair = Change(2, 1);
  repair.isRepair = true;
  const WriteResult repaired = Write(std::move(repair));
  BOOST_TEST((repaired.outcome == WriteOutcome::Accepted));
  BOOST_TEST(repaired.generation == 3);

  inForce = std::make_shared<declaration::Configuration>(Read().configuration);
  fake.Erase(kConfigurationKey);
  BOOST_TEST((Write(Change(0)).outcome == WriteOutcome::Refused));
  ConfigurationChange again = Change(3);
  again.isRepair = true;
  const WriteResult restored = Write(std::move(again));
  BOOST_TEST(restored.generation == 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store
