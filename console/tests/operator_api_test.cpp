#include "console/screen_page.h"
#include "console/tests/api_server.h"

#include <rapidcheck.h>

#include <fstream>
#include <iterator>

namespace skylarkwing::console {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

struct ApiFixture
{
  /** Sends one request on a connection of its own. */
  net::HttpResponse Send(net::HttpRequest aRequest, std::size_t aDaemon = 0)
  {
    boost::asio::io_context loop;
    net::HttpResponse response;
    core::Start(loop.get_executor(), Exchange(loop, std::move(aRequest), aDaemon, response));
    loop.run();
    return response;
  }

  core::Task<void> Exchange(boost::asio::io_context& aLoop,
                            net::HttpRequest aRequest,
                            std::size_t aDaemon,
                            net::HttpResponse& aResponse)
  {
    net::TcpHttpConnection connection(aLoop.get_executor());
    const bool isOpen = co_await connection.Connect(servers.addresses[aDaemon], 5s);
    BOOST_REQUIRE(isOpen);
    net::HttpResult reply = co_await connection.Exchange(std::move(aRequest), 5s);
    BOOST_TEST((reply.error == net::HttpClientError::None));
    aResponse = std::move(reply.response);
  }

  static net::HttpRequest Request(std::string aMethod,
                                  std::string aTarget,
                                  const std::string& aToken,
                                  std::string aBody = {})
  {
    net::HttpRequest request;
    request.method = std::move(aMethod);
    request.target = std::move(aTarget);
    request.headers = { { "Authorization", "Bearer " + aToken },
                        { "Content-Type", "application/json" } };
    request.body = std::move(aBody);
    return request;
  }

  static std::string DomainBody(bool aOut, std::uint64_t aExpected, const std::string& aAuthor)
  {
    return json{
      { "out", aOut },
      { "expectedGeneration", aExpected },
      { "author", aAuthor },
      { "reason", "cooling work" }
    }.dump();
  }

  /** Reads an event stream until the state has the generation. */
  core::Task<void> FollowEvents(boost::asio::io_context& aLoop,
                                std::uint64_t aGeneration,
                                json& aState)
  {
    net::TcpHttpConnection connection(aLoop.get_executor());
    const bool isOpen = co_await connection.Connect(servers.addresses[0], 5s);
    BOOST_REQUIRE(isOpen);
    net::HttpRequest request = Request("GET", "/v1/events", kReadToken);
    const net::HttpResult reply = co_await connection.OpenStream(std::move(request), 5s);
    BOOST_TEST(reply.response.contentType == "text/event-stream");
    std::string text;
    while (aState.value("generation", std::uint64_t{ 0 }) < aGeneration) {
      const std::optional<std::string> chunk = co_await connection.ReadSome(20s);
      BOOST_REQUIRE(chunk.has_value());
      text += *chunk;
      text = TakeEvents(std::move(text), aState);
      // The first event triggers a change, which a later event must show.
      if (aState.contains("generation")) {
        TakeDomainOutOnce();
      }
    }
  }

  static std::string TakeEvents(std::string aText, json& aState)
  {
    for (std::size_t end = aText.find("\n\n"); end != std::string::npos; end = aText.find("\n\n")) {
      const std::size_t data = aText.find("data: ");
      aState.update(json::parse(aText.substr(data + 6, end - data - 6)));
      aText.erase(0, end + 2);
    }
    return aText;
  }

  void TakeDomainOutOnce()
  {
    if (isChanged) {
      return;
    }
    isChanged = true;
    const auto response =
      Send(Request("POST", "/v1/domains/Ikeja", kChangeToken, DomainBody(true, 1, "Ngozi")), 1);
    BOOST_TEST(response.status == 200U);
  }

  ApiServers servers;
  bool isChanged = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_api, ApiFixture)

BOOST_AUTO_TEST_CASE(the_page_needs_no_token_and_carries_no_data)
{
  const net::HttpResponse page = Send(Request("GET", "/", ""));
  BOOST_TEST(page.status == 200U);
  BOOST_TEST(page.body == std::string(kScreenPage));
  BOOST_TEST(page.Header("Content-Security-Policy").has_value());
  BOOST_TEST(page.body.find("adebayo") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_embedded_page_matches_the_source_and_is_self_contained)
{
  std::ifstream file(SKYLARKWING_SOURCE_DIR "/console/web/screen.html");
  const std::string source((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
  BOOST_TEST(source == std::string(kScreenPage));
  for (const char* outside : { "https://", "src=", "@import", "url(" }) {
    BOOST_TEST(source.find(outside) == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(everything_else_needs_a_token)
{
  for (const char* target : { "/v1/status",
                              "/v1/events",
                              "/v1/configuration",
                              "/v1/history",
                              "/v1/burn",
                              "/v1/quarantine",
                              "/metrics" }) {
    BOOST_TEST(Send(Request("GET", target, "other")).status == 401U);
  }
  for (const char* target : { "/v1/status", "/v1/history", "/v1/burn", "/metrics" }) {
    BOOST_TEST(Send(Request("GET", target, kReadToken)).status == 200U);
  }
  const std::string body = DomainBody(true, 1, "Ngozi");
  BOOST_TEST(Send(Request("POST", "/v1/domains/Ikeja", kReadToken, body)).status == 403U);
  BOOST_TEST(Send(Request("DELETE", "/v1/quarantine/ab", kReadToken)).status == 403U);
  BOOST_TEST(servers.cluster.applied == 0);
}

BOOST_AUTO_TEST_CASE(a_page_of_another_site_changes_nothing)
{
  net::HttpRequest request =
    Request("POST", "/v1/domains/Ikeja", kChangeToken, DomainBody(true, 1, "Ngozi"));
  request.headers.push_back({ "Origin", "http://evil.example" });
  BOOST_TEST(Send(request).status == 403U);
  BOOST_TEST(servers.cluster.applied == 0);
}

BOOST_AUTO_TEST_CASE(of_two_concurrent_changes_one_fails_and_names_the_other_author)
{
  boost::asio::io_context loop;
  std::vector<net::HttpResponse> responses(2);
  for (std::size_t n = 0; n < 2; ++n) {
    const std::string author = n == 0 ? "Ngozi" : "Tunde";
    net::HttpRequest request =
      Request("POST", "/v1/domains/Ikeja", kChangeToken, DomainBody(true, 1, author));
    core::Start(loop.get_executor(), Exchange(loop, std::move(request), n, responses[n]));
  }
  loop.run();
  const std::size_t winner = responses[0].status == 200 ? 0 : 1;
  BOOST_TEST(responses[winner].status == 200U);
  BOOST_TEST(responses[1 - winner].status == 409U);
  const json conflict = json::parse(responses[1 - winner].body);
  BOOST_TEST(conflict["outcome"] == "conflict");
  BOOST_REQUIRE(conflict["conflicts"].size() == 1U);
  BOOST_TEST(conflict["conflicts"][0]["author"] == (winner == 0 ? "Ngozi" : "Tunde"));
  BOOST_TEST(servers.cluster.configuration.generation == 2U);
}

BOOST_AUTO_TEST_CASE(a_change_at_one_daemon_is_pushed_to_a_screen_at_another)
{
  boost::asio::io_context loop;
  json state = json::object();
  core::Start(loop.get_executor(), FollowEvents(loop, 2, state));
  loop.run();
  BOOST_TEST(state["generation"] == 2);
  BOOST_TEST(state["failureDomains"][0]["name"] == "Ikeja");
  BOOST_TEST(state["failureDomains"][0]["out"] == true);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_reported_as_unknown)
{
  servers.cluster.loseAnswer = true;
  const auto response =
    Send(Request("POST", "/v1/domains/Ikeja", kChangeToken, DomainBody(true, 1, "Ngozi")));
  BOOST_TEST(response.status == 504U);
  BOOST_TEST(json::parse(response.body)["outcome"] == "unknown");
}

BOOST_AUTO_TEST_CASE(a_quarantine_is_shown_and_lifted_once)
{
  servers.cluster.quarantine = { { "9f2c41d07be3a655", "dealer-catalogue", { "a", "b" }, 1 } };
  const auto shown = Send(Request("GET", "/v1/quarantine", kReadToken));
  BOOST_TEST(json::parse(shown.body)["quarantine"][0]["fingerprint"] == "9f2c41d07be3a655");
  const std::string target = "/v1/quarantine/9f2c41d07be3a655";
  BOOST_TEST(Send(Request("DELETE", target, kChangeToken)).status == 200U);
  BOOST_TEST(Send(Request("DELETE", target, kChangeToken)).status == 404U);
}

BOOST_AUTO_TEST_CASE(malformed_bodies_change_nothing)
{
  const std::vector<std::string> targets{ "/v1/domains/Ikeja", "/v1/configuration" };
  BOOST_TEST(rc::check("bodies that are no change", [&] {
    const auto target = *rc::gen::elementOf(targets);
    const auto name = *rc::gen::element<std::string>("out", "author", "forse", "declaration");
    const auto value = *rc::gen::element<std::string>("7", "null", "[]", "\"x\"", "{\"a\":1}");
    const auto noise = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    const std::string object = "{\"author\":\"a\",\"reason\":\"r\",\"" + name + "\":" + value + "}";
    const std::string body = *rc::gen::element(object, noise, "{" + noise);
    const unsigned status = Send(Request("POST", target, kChangeToken, body)).status;
    RC_ASSERT(status == 400U || status == 422U);
  }));
  BOOST_TEST(servers.cluster.applied == 0);
}

BOOST_AUTO_TEST_CASE(a_misspelt_field_is_refused)
{
  json body = json::parse(DomainBody(true, 1, "Ngozi"));
  body["expectedgeneration"] = 1;
  const auto response = Send(Request("POST", "/v1/domains/Ikeja", kChangeToken, body.dump()));
  BOOST_TEST(response.status == 400U);
  BOOST_TEST(response.body.find("expectedgeneration") != std::string::npos);
  BOOST_TEST(servers.cluster.applied == 0);
}

BOOST_AUTO_TEST_CASE(unknown_methods_and_paths_are_refused)
{
  BOOST_TEST(Send(Request("GET", "/v1/nothing", kReadToken)).status == 404U);
  BOOST_TEST(Send(Request("PUT", "/v1/configuration", kChangeToken, "{}")).status == 404U);
  BOOST_TEST(Send(Request("POST", "/v1/domains/", kChangeToken, "{}")).status == 404U);
  BOOST_TEST(Send(Request("POST", "/v1/domains/a%2Fb/c", kChangeToken, "{}")).status == 404U);
  const auto unknown =
    Send(Request("POST", "/v1/domains/Atlantis", kChangeToken, DomainBody(true, 1, "Ngozi")));
  BOOST_TEST(unknown.status == 422U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
