#include "standin/upstream_standin.h"

#include "standin/shard_contents.h"
#include "standin/tests/loopback.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace skylarkwing::standin {

namespace {

using nlohmann::json;
using Replies = std::vector<net::HttpResult>;

/** One upstream that holds shard 3 of 10 in version 7. */
struct UpstreamFixture : Loopback
{
  UpstreamLedgers ledgers{ std::make_shared<ExecutionCounter>(), std::make_shared<CrashLedger>() };
  std::unique_ptr<UpstreamStandin> upstream;

  void Start(UpstreamStandinOptions aOptions)
  {
    aOptions.replica = "r-1";
    aOptions.index = "catalogue";
    aOptions.stragglerShare = 0.0;
    upstream = std::make_unique<UpstreamStandin>(loop, timers, aOptions, ledgers);
    upstream->AddVersion(7, 10, { 3 });
    BOOST_REQUIRE(upstream->Start());
  }

  json Search(const std::string& aId, const json& aSearch = json::object()) const
  {
    return { { "requestId", aId }, { "index", "catalogue" }, { "shard", 3 },
             { "snapshot", 7 },    { "deadlineMs", 10000 },  { "idempotent", true },
             { "search", aSearch } };
  }

  /** Sends concurrent searches, each on its own connection, and waits for all replies. */
  Replies SearchConcurrently(int aCount)
  {
    auto replies = std::make_shared<Replies>();
    for (int n = 0; n < aCount; ++n) {
      Post(NewConnection(),
           upstream->Address(),
           "/search",
           Search("p-" + std::to_string(n)).dump(),
           replies);
    }
    RunUntilReplies(*replies, static_cast<std::size_t>(aCount));
    return *replies;
  }
};

std::size_t
CountStatus(const Replies& aReplies, unsigned aStatus)
{
  return static_cast<std::size_t>(
    std::count_if(aReplies.begin(), aReplies.end(), [aStatus](const net::HttpResult& aReply) {
      return aReply.response.status == aStatus;
    }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamStandinTest, UpstreamFixture)

BOOST_AUTO_TEST_CASE(AnswersWithTheGeneratedHitsOfItsShard)
{
  Start({});
  const net::HttpResult reply =
    Call(upstream->Address(), "/search", Search("p-1", { { "kind", "kind-2" } }));
  BOOST_TEST(reply.response.status == 200U);
  const json body = json::parse(reply.response.body);
  BOOST_TEST(body["requestId"] == "p-1");
  BOOST_TEST(body["complete"] == true);
  const json expected = SearchDocuments(GenerateShard("catalogue", 7, 3), { { "kind", "kind-2" } });
  BOOST_TEST(body["hits"] == expected);
  BOOST_TEST(reply.response.Header("Upstream-State").value() == "warm");
  BOOST_TEST(!reply.response.Header("Upstream-Incarnation").value().empty());
}

BOOST_AUTO_TEST_CASE(RefusesAVersionThatItDoesNotHold)
{
  Start({});
  json search = Search("p-1");
  search["snapshot"] = 8;
  const net::HttpResult reply = Call(upstream->Address(), "/search", search);
  BOOST_TEST(reply.response.status == 503U);
  BOOST_TEST(json::parse(reply.response.body)["reason"] == "wrong_snapshot");
  BOOST_TEST(upstream->Load().started == 0U);
}

BOOST_AUTO_TEST_CASE(ShedsBeyondItsSlots)
{
  UpstreamStandinOptions options;
  options.slots = 2;
  options.serviceTime = std::chrono::milliseconds{ 200 };
  Start(options);
  const Replies replies = SearchConcurrently(4);
  BOOST_TEST(CountStatus(replies, 200) == 2U);
  BOOST_TEST(CountStatus(replies, 503) == 2U);
  BOOST_TEST(upstream->Properties().Total() == 0U);
}

BOOST_AUTO_TEST_CASE(CountsConnectionsOverItsLimit)
{
  UpstreamStandinOptions options;
  options.connections = 2;
  options.serviceTime = std::chrono::milliseconds{ 200 };
  Start(options);
  SearchConcurrently(3);
  BOOST_TEST(upstream->Properties().connectionsOverLimit == 1U);
}

BOOST_AUTO_TEST_CASE(CountsSearchesOverTheColdLimit)
{
  UpstreamStandinOptions options;
  options.startsWarm = false;
  options.serviceTime = std::chrono::milliseconds{ 50 };
  Start(options);
  SearchConcurrently(1);
  BOOST_TEST(upstream->Properties().coldOverfull == 0U);
  SearchConcurrently(3);
  BOOST_TEST(upstream->Properties().coldOverfull == 2U);
}

BOOST_AUTO_TEST_CASE(DoesNotCountSearchesSentBeforeTheColdStateWasReported)
{
  UpstreamStandinOptions options;
  options.serviceTime = std::chrono::milliseconds{ 50 };
  Start(options);
  upstream->TurnCold();
  SearchConcurrently(3);
  BOOST_TEST(upstream->Properties().coldOverfull == 0U);
  SearchConcurrently(3);
  BOOST_TEST(upstream->Properties().coldOverfull == 2U);
}

BOOST_AUTO_TEST_CASE(RestartsColdAtTheSameAddressAfterACrash)
{
  UpstreamStandinOptions options;
  options.restartTime = std::chrono::milliseconds{ 20 };
  options.crashAllowance = 0;
  Start(options);
  const std::string address = upstream->Address();
  const net::HttpResult before = Call(address, "/load");
  const net::HttpResult crash = Call(address, "/search", Search("p-1", { { "poison", true } }));
  BOOST_TEST((crash.error == net::HttpClientError::Broken));
  net::HttpResult after = Call(address, "/load");
  while (after.error != net::HttpClientError::None) {
    after = Call(address, "/load");
  }
  BOOST_TEST(after.response.Header("Upstream-State").value() == "cold");
  BOOST_TEST(after.response.Header("Upstream-Incarnation").value() !=
             before.response.Header("Upstream-Incarnation").value());
  BOOST_TEST(upstream->Load().crashes == 1U);
  BOOST_TEST(upstream->Properties().crashedTooMany == 1U);
}

BOOST_AUTO_TEST_CASE(CountsARequestThatRanTwice)
{
  Start({});
  json search = Search("p-1", { { "token", "order-1" } });
  search["idempotent"] = false;
  Call(upstream->Address(), "/search", search);
  BOOST_TEST(upstream->Properties().runTwice == 0U);
  Call(upstream->Address(), "/search", search);
  BOOST_TEST(upstream->Properties().runTwice == 1U);
}

BOOST_AUTO_TEST_CASE(DoesNotCountSearchesWithinTheNoticeAllowance)
{
  UpstreamStandinOptions options;
  options.noticeGracePeriod = std::chrono::hours{ 1 };
  Start(options);
  upstream->SetDomainOut(true);
  Call(upstream->Address(), "/search", Search("p-1"));
  BOOST_TEST(upstream->Properties().workWhileOut == 0U);
}

BOOST_AUTO_TEST_CASE(CountsSearchesAfterTheNoticeAllowance)
{
  UpstreamStandinOptions options;
  options.noticeGracePeriod = core::Duration::zero();
  Start(options);
  upstream->SetDomainOut(true);
  upstream->Drain();
  Call(upstream->Address(), "/load");
  const net::HttpResult reply = Call(upstream->Address(), "/search", Search("p-1"));
  BOOST_TEST(reply.response.status == 503U);
  BOOST_TEST(upstream->Properties().workWhileOut == 1U);
  BOOST_TEST(upstream->Properties().workWhileDraining == 1U);
}

BOOST_AUTO_TEST_CASE(CancelsARunningSearch)
{
  UpstreamStandinOptions options;
  options.serviceTime = std::chrono::seconds{ 15 };
  Start(options);
  auto replies = std::make_shared<Replies>();
  Post(NewConnection(), upstream->Address(), "/search", Search("p-1").dump(), replies);
  while (upstream->Load().started == 0) {
    loop.run_one();
  }
  Call(upstream->Address(), "/cancel", { { "requestId", "p-1" } });
  RunUntilReplies(*replies, 1);
  BOOST_REQUIRE(replies->size() == 1U);
  BOOST_TEST(replies->front().response.status == 504U);
  BOOST_TEST(upstream->Load().cancelled == 1U);
}

BOOST_AUTO_TEST_CASE(RefusesEverySearchWhenSetToRefuse)
{
  Start({});
  upstream->SetRefusing(true);
  const net::HttpResult reply = Call(upstream->Address(), "/search", Search("p-1"));
  BOOST_TEST(json::parse(reply.response.body)["reason"] == "overloaded");
  BOOST_TEST(json::parse(reply.response.body)["executed"] == "no");
}

BOOST_AUTO_TEST_CASE(ReportsAPartialSearchAsIncomplete)
{
  Start({});
  upstream->SetPartial(true);
  const net::HttpResult reply = Call(upstream->Address(), "/search", Search("p-1"));
  const json body = json::parse(reply.response.body);
  BOOST_TEST(body["complete"] == false);
  BOOST_TEST(body["hits"].size() == GenerateShard("catalogue", 7, 3).size() / 2);
}

BOOST_AUTO_TEST_CASE(KeepsItsProcessWhenItDropsConnections)
{
  UpstreamStandinOptions options;
  options.serviceTime = std::chrono::milliseconds{ 200 };
  Start(options);
  const std::string before =
    Call(upstream->Address(), "/load").response.Header("Upstream-Incarnation").value();
  auto replies = std::make_shared<Replies>();
  Post(NewConnection(), upstream->Address(), "/search", Search("p-1").dump(), replies);
  while (upstream->Load().started == 0) {
    loop.run_one();
  }
  upstream->DropConnections();
  RunUntilReplies(*replies, 1);
  BOOST_TEST((replies->front().error == net::HttpClientError::Broken));
  const net::HttpResult after = Call(upstream->Address(), "/load");
  BOOST_TEST(after.response.Header("Upstream-Incarnation").value() == before);
}

BOOST_AUTO_TEST_CASE(ReportsLoadAfterTheLag)
{
  UpstreamStandinOptions options;
  options.loadLag = std::chrono::hours{ 1 };
  Start(options);
  Call(upstream->Address(), "/load");
  upstream->TurnCold();
  const net::HttpResult reply = Call(upstream->Address(), "/load");
  BOOST_TEST(json::parse(reply.response.body)["state"] == "warm");
  BOOST_TEST(reply.response.Header("Upstream-State").value() == "cold");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::standin
