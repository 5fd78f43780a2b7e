#include "bench/load_driver.h"

#include "core/asio_timer_service.h"
#include "core/task.h"
#include "net/http_server.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

core::Task<net::HttpResponse>
Answer(net::HttpResponse aResponse)
{
  co_return aResponse;
}

/** Fake entry process that returns the same response to every query. */
struct FakeEntry
{
  net::HttpServer server;
  net::HttpResponse response;

  explicit FakeEntry(boost::asio::io_context& aLoop)
    : server(aLoop, net::HttpServerLimits{}, [this](const net::HttpRequest& aRequest) {
      return Answer(aRequest.Path() == "/v1/entry-points" ? EntryPoints() : response);
    })
  {
    BOOST_REQUIRE(server.Listen("127.0.0.1:0"));
  }

  net::HttpResponse EntryPoints() const
  {
    const json point = { { "vm", "vm-1" },
                         { "address", server.Address() },
                         { "failureDomain", "a" },
                         { "identityPrefix", "vm-1.a.0" } };
    net::HttpResponse points;
    points.body = json{ { "entryPoints", json::array({ point }) }, { "keepSeconds", 1 } }.dump();
    return points;
  }
};

/** Load driver and one fake entry process on the same loop. */
struct DriverFixture
{
  boost::asio::io_context loop;
  core::AsioTimerService timers{ loop };
  FakeEntry entry{ loop };
  std::shared_ptr<NaiveReference> reference = std::make_shared<NaiveReference>();
  std::shared_ptr<standin::ExecutionCounter> runs = std::make_shared<standin::ExecutionCounter>();

  LoadResult Run(bool aIsIdempotent)
  {
    LoadOptions options;
    options.seeds = { entry.server.Address() };
    options.streams = {
      { "p", "catalogue", aIsIdempotent, std::chrono::milliseconds{ 2000 }, 40.0 }
    };
    options.length = std::chrono::milliseconds{ 500 };
    LoadDriver driver(loop, timers, options, reference, runs);
    driver.Start();
    while (!driver.IsDone()) {
      loop.run_one();
    }
    LoadResult result = driver.Result();
    entry.server.Close();
    while (loop.poll() > 0) {
    }
    return result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadDriverTest)

BOOST_FIXTURE_TEST_CASE(CountsAnswersAndFaultyAnswers, DriverFixture)
{
  reference->AddSnapshot("catalogue", 1, 2);
  entry.response.body = R"({"hits":[],"snapshot":1,"complete":true,
                            "coverage":{"answered":2,"total":2,"missing":[]}})";
  const LoadResult result = Run(true);
  BOOST_TEST(result.sent > 0U);
  BOOST_TEST(result.answered == result.sent);
  BOOST_TEST(result.partsNeeded == 2 * result.sent);
  // Every search of the load driver has hits in both shards, so the empty answers are faulty.
  BOOST_TEST(result.faults.falseCoverage == result.sent);
}

BOOST_FIXTURE_TEST_CASE(CountsRefusalsByErrorAndFalseNotRunClaims, DriverFixture)
{
  entry.response.status = 503;
  entry.response.body = R"({"error":"overloaded","reason":"","executed":"no"})";
  runs->RecordStart("t-1-1/0");
  const LoadResult result = Run(false);
  BOOST_TEST(result.answered == 0U);
  BOOST_TEST(result.refusals.at("overloaded") == result.sent);
  BOOST_TEST(result.faults.falseNotRun == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::bench
