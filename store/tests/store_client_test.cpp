#include "store/store_client.h"

#include "store/base64.h"
#include "store/etcd_codec.h"
#include "store/tests/fake_store.h"
#include "store/tests/virtual_loop.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::store {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture
{
  VirtualLoop loop;
  FakeStore first{ loop.timers };
  FakeStore second{ loop.timers };
  core::RandomSource random{ 7 };
  /** With this seed a client of two servers starts with the first one. */
  core::RandomSource firstServerFirst{ 1 };
  core::Metrics metrics;
  StoreClient client{ loop.timers, random, metrics, { first.Endpoint() } };

  RangeResult Read(StoreClient& aClient, core::Duration aLimit)
  {
    return loop.Await(aClient.Range(RangeRequest{ "k", false, false }, aLimit));
  }

  TransactionResult Write(core::Duration aLimit)
  {
    Transaction transaction;
    transaction.conditions.push_back({ "k", CompareTarget::ModRevision, 0 });
    transaction.puts.push_back({ "k", "new", 0 });
    transaction.readsOnFailure.emplace_back("k");
    return loop.Await(client.RunTransaction(std::move(transaction), aLimit));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_client, Fixture)

BOOST_AUTO_TEST_CASE(base64_round_trips_and_refuses_invalid_text)
{
  BOOST_TEST(EncodeBase64("a") == "YQ==");
  BOOST_TEST(EncodeBase64("ab\xff") == "YWL/");
  BOOST_TEST(!DecodeBase64("YQ=").has_value());
  BOOST_TEST(!DecodeBase64("Y*==").has_value());
  BOOST_TEST(rc::check("decoding undoes encoding", [](const std::string& aBytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(aBytes)).value() == aBytes);
  }));
}

BOOST_AUTO_TEST_CASE(answers_with_arbitrary_content_are_decoded_or_refused)
{
  const std::string good = R"({"result":{"header":{"revision":"5"},"ID":"7","TTL":"9",)"
                           R"("events":[{"kv":{"key":"YQ==","value":"YQ=="}}]},"kvs":[]})";
  BOOST_TEST(rc::check("no damage ends the process", [&] {
    std::string text = good;
    for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    DecodeRange(text);
    DecodeTransaction(text);
    DecodeLeaseGrant(text);
    DecodeLeaseKeepAlive(text);
    DecodeWatch(text);
  }));
  BOOST_TEST(DecodeWatch(good)->values.size() == 1);
  BOOST_TEST(DecodeLeaseKeepAlive(good)->timeToLive.count() == 9);
}

BOOST_AUTO_TEST_CASE(a_read_is_repeated_until_the_store_is_back_but_not_beyond_its_time_limit)
{
  first.isDown = true;
  const auto result = loop.Begin(client.Range(RangeRequest{ "k", false, false }, seconds{ 30 }));
  loop.Run(seconds{ 12 });
  BOOST_TEST(!result->has_value());
  BOOST_TEST(!client.IsReachable());
  first.isDown = false;
  loop.Run(seconds{ 10 });
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST((result->value().error == StoreError::None));
  BOOST_TEST(client.IsReachable());

  first.isDown = true;
  const core::TimePoint start = loop.timers.Now();
  BOOST_TEST((Read(client, seconds{ 5 }).error == StoreError::Unavailable));
  BOOST_TEST((loop.timers.Now() - start <= seconds{ 5 }));
}

BOOST_AUTO_TEST_CASE(another_server_takes_over_at_once)
{
  StoreClient both(loop.timers, firstServerFirst, metrics, { first.Endpoint(), second.Endpoint() });
  first.isDown = true;
  const core::TimePoint start = loop.timers.Now();
  for (int n = 0; n < 5; ++n) {
    BOOST_TEST((Read(both, seconds{ 1 }).error == StoreError::None));
  }
  BOOST_TEST((loop.timers.Now() - start < milliseconds{ 1 }));
  BOOST_TEST(first.Calls() == 1);
}

BOOST_AUTO_TEST_CASE(one_failing_server_of_two_is_no_outage)
{
  StoreClient both(loop.timers, firstServerFirst, metrics, { first.Endpoint(), second.Endpoint() });
  first.isDown = true;
  second.delay = seconds{ 1 };
  const auto result = loop.Begin(both.Range(RangeRequest{ "k", false, false }, seconds{ 30 }));
  loop.Run(milliseconds{ 500 });
  BOOST_REQUIRE(first.Calls() == 1);
  BOOST_TEST(both.IsReachable());
  loop.Run(seconds{ 2 });
  BOOST_TEST(result->has_value());
}

BOOST_AUTO_TEST_CASE(a_transaction_is_not_repeated_after_a_lost_answer)
{
  first.answersToLose = 1;
  BOOST_TEST((Write(seconds{ 10 }).error == StoreError::OutcomeUnknown));
  BOOST_TEST(first.calls["/v3/kv/txn"] == 1);
  BOOST_TEST(first.Find("k")->value == "new");
}

BOOST_AUTO_TEST_CASE(a_transaction_that_no_server_received_is_repeated)
{
  first.isDown = true;
  loop.timers.Schedule(seconds{ 1 }, [this] { first.isDown = false; });
  const TransactionResult result = Write(seconds{ 20 });
  BOOST_TEST((result.error == StoreError::None));
  BOOST_TEST(result.hasSucceeded);
}

BOOST_AUTO_TEST_CASE(a_failed_condition_returns_the_stored_values)
{
  first.PutValue("k", "old");
  const TransactionResult result = Write(seconds{ 1 });
  BOOST_TEST(!result.hasSucceeded);
  BOOST_REQUIRE(result.values.size() == 1);
  BOOST_TEST(result.values[0].value == "old");
}

BOOST_AUTO_TEST_CASE(calls_beyond_the_rate_limit_wait_or_are_refused_unsent)
{
  client.SetFleetSize(400);
  const core::TimePoint start = loop.timers.Now();
  for (int n = 0; n < 30; ++n) {
    Read(client, seconds{ 60 });
  }
  BOOST_TEST((loop.timers.Now() - start >= seconds{ 10 }));
  BOOST_TEST((Read(client, milliseconds{ 100 }).error == StoreError::RateLimited));
  BOOST_TEST(first.Calls() == 30);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("{kind=\"range\",result=\"none\"} 30") != std::string::npos);
  BOOST_TEST(text.find("{kind=\"range\",result=\"budget_spent\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(attempts_become_rare_during_an_outage)
{
  first.isDown = true;
  const auto result = loop.Begin(client.Range(RangeRequest{ "k", false, false }, seconds{ 3600 }));
  loop.Run(seconds{ 600 });
  // The delays lie between 5 s and 10 s once they have grown.
  BOOST_TEST(first.Calls() >= 60);
  BOOST_TEST(first.Calls() <= 140);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store
