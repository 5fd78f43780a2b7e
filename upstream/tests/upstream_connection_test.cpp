#include "upstream/upstream_connection.h"

#include "core/asio_timer_service.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace skylarkwing::upstream {

namespace {

using nlohmann::json;
using std::chrono::seconds;

/** An HTTP server with one prepared answer, and a connection to it. */
struct Fixture
{
  boost::asio::io_context loop;
  net::HttpResponse response;
  net::HttpRequest lastRequest;
  net::HttpServer server{ loop, {}, [this](net::HttpRequest aRequest) {
                           return Answer(std::move(aRequest));
                         } };
  std::shared_ptr<UpstreamConnection> connection;

  Fixture()
  {
    BOOST_REQUIRE(server.Listen("127.0.0.1:0"));
    connection = MakeHttpConnectionFactory(loop.get_executor())(server.Address());
    BOOST_REQUIRE(Run(connection->Connect(seconds{ 5 })));
  }

  ~Fixture()
  {
    try {
      connection->Close();
      server.Close();
      loop.restart();
      loop.poll();
    } catch (const std::exception& error) {
      BOOST_ERROR(error.what());
    }
  }

  core::Task<net::HttpResponse> Answer(net::HttpRequest aRequest)
  {
    lastRequest = std::move(aRequest);
    co_return response;
  }

  void Prepare(unsigned aStatus, const json& aBody, const std::string& aState)
  {
    response.status = aStatus;
    response.body = aBody.dump();
    response.headers = { { "Upstream-Incarnation", "a1" }, { "Upstream-State", aState } };
  }

  template<typename T>
  T Run(core::Task<T> aTask)
  {
    std::optional<T> result;
    boost::asio::co_spawn(loop, std::move(aTask), [&result](const std::exception_ptr&, T aResult) {
      result = std::move(aResult);
    });
    loop.restart();
    while (!result) {
      loop.run_one();
    }
    return std::move(*result);
  }

  SearchReply Search()
  {
    SearchCall call{ "p-1", "stock", 3, 7, std::chrono::milliseconds{ 180 }, true, R"({"q":1})" };
    return Run(connection->Search(std::move(call), seconds{ 5 }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_connection, Fixture)

BOOST_AUTO_TEST_CASE(reads_an_answer)
{
  const json hit{ { "id", "o-1" }, { "score", 0.5 }, { "fields", { { "rolls", 4 } } } };
  Prepare(200,
          { { "requestId", "p-1" },
            { "snapshot", 7 },
            { "shard", 3 },
            { "complete", true },
            { "hits", { hit } } },
          "warm");
  const SearchReply reply = Search();
  BOOST_TEST((reply.error == ExchangeError::None));
  BOOST_TEST((reply.outcome == SearchOutcome::Answered));
  BOOST_TEST((reply.state == UpstreamState::Warm));
  BOOST_TEST(reply.incarnation == "a1");
  BOOST_TEST(reply.snapshot == 7U);
  BOOST_TEST(reply.shard == 3U);
  BOOST_TEST(reply.isComplete);
  BOOST_TEST(reply.hits.at(0).fields == R"({"rolls":4})");
  const json sent = json::parse(lastRequest.body);
  BOOST_TEST(sent["deadlineMs"] == 180);
  BOOST_TEST(sent["search"]["q"] == 1);
}

BOOST_AUTO_TEST_CASE(distinguishes_searches_that_did_not_run_from_those_that_may_have)
{
  Prepare(503, { { "requestId", "p-1" }, { "executed", "no" }, { "reason", "cold" } }, "cold");
  const SearchReply shed = Search();
  BOOST_TEST((shed.outcome == SearchOutcome::Shed));
  BOOST_TEST((shed.shedReason == ShedReason::Cold));
  Prepare(503, { { "requestId", "p-1" } }, "warm");
  BOOST_TEST((Search().outcome == SearchOutcome::Ended));
  Prepare(504, { { "requestId", "p-1" }, { "reason", "cancelled" } }, "warm");
  const SearchReply ended = Search();
  BOOST_TEST((ended.outcome == SearchOutcome::Ended));
  BOOST_TEST(ended.wasCancelled);
}

BOOST_AUTO_TEST_CASE(an_error_of_the_upstream_keeps_the_connection)
{
  Prepare(500, "no such field", "warm");
  const SearchReply reply = Search();
  BOOST_TEST((reply.error == ExchangeError::None));
  BOOST_TEST((reply.outcome == SearchOutcome::Failed));
  BOOST_TEST(reply.partId == "p-1");
  BOOST_TEST(connection->IsOpen());
}

BOOST_AUTO_TEST_CASE(an_unknown_state_is_cold)
{
  Prepare(200, { { "requestId", "p-1" } }, "lukewarm");
  BOOST_TEST((Search().state == UpstreamState::Cold));
}

BOOST_AUTO_TEST_CASE(an_invalid_answer_closes_the_connection)
{
  Prepare(200, json::array(), "warm");
  BOOST_TEST((Search().error == ExchangeError::Malformed));
  BOOST_TEST(!connection->IsOpen());
  BOOST_TEST((Search().error == ExchangeError::NothingSent));
}

BOOST_AUTO_TEST_CASE(reads_the_load_and_drops_shards_out_of_range)
{
  const json holding{ { "snapshot", 7 }, { "shardCount", 4 }, { "shards", { 3, 4, "x" } } };
  Prepare(200, { { "state", "warm" }, { "inFlight", 2 }, { "holdings", { holding } } }, "draining");
  const LoadReply reply = Run(connection->Load(seconds{ 5 }));
  BOOST_TEST((reply.error == ExchangeError::None));
  BOOST_TEST(reply.incarnation == "a1");
  BOOST_TEST(reply.inFlight == 2U);
  BOOST_TEST((reply.state == UpstreamState::Warm));
  BOOST_TEST((reply.notice.state == UpstreamState::Draining));
  BOOST_TEST(reply.holdings.at(0).shards.size() == 1U);
}

BOOST_AUTO_TEST_CASE(reads_the_notice_on_the_answer_to_a_cancellation)
{
  Prepare(200, json::object(), "cold");
  const ProcessNotice notice = Run(connection->Cancel("part-1", seconds{ 5 }));
  BOOST_TEST(notice.incarnation == "a1");
  BOOST_TEST((notice.state == UpstreamState::Cold));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
