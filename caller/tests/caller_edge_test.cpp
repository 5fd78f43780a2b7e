#include "caller/tests/caller_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::caller::test {

using namespace std::chrono_literals;

namespace {

void
CheckRefused(const Reply& aReply, const std::string& aError)
{
  BOOST_TEST(aReply.body["error"] == aError);
  BOOST_TEST(aReply.body["executed"] == "no");
  BOOST_TEST(aReply.status >= 400U);
}

rc::Gen<std::string>
TextGenerator()
{
  return rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                        rc::gen::elementOf(std::vector<std::string>{ "{}",
                                                                     "{\"size\":1}",
                                                                     "{\"size\":-1}",
                                                                     "{\"size\":1e99}",
                                                                     "[",
                                                                     "{\"a\":\"\xff\"}",
                                                                     "read",
                                                                     "write",
                                                                     "1",
                                                                     "0",
                                                                     "-1",
                                                                     "99999999999999999999",
                                                                     "vm-1.a.10.x",
                                                                     "vm-1.a.99.x",
                                                                     "...",
                                                                     "" }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_edge)

BOOST_AUTO_TEST_CASE(returns_entry_points)
{
  CallerFixture fixture;
  fixture.StartDaemon("vm-1", "a");
  net::HttpRequest request;
  request.target = "/v1/entry-points?failure-domain=Ikeja";
  const Reply reply = fixture.Ask("vm-1", request);
  BOOST_TEST(reply.status == 200U);
  BOOST_TEST(reply.body["entryPoints"][0]["identityPrefix"] == "vm-1.a.10");
  BOOST_TEST(reply.body["keepSeconds"] == 10);
}

BOOST_AUTO_TEST_CASE(answers_with_hits_and_coverage)
{
  CallerFixture fixture;
  fixture.StartDaemon("vm-1", "a");
  const Reply reply = fixture.Ask("vm-1", CallerFixture::Request("read"));
  BOOST_TEST(reply.status == 200U);
  BOOST_TEST(reply.body["hits"][0]["fields"]["kg"] == 3);
  BOOST_TEST(reply.body["snapshot"] == 7);
  BOOST_TEST(reply.body["coverage"]["total"] == 2);
  BOOST_TEST(reply.body["complete"] == true);
}

BOOST_AUTO_TEST_CASE(refuses_invalid_input_by_kind)
{
  CallerFixture fixture;
  fixture.StartDaemon("vm-1", "a");
  const auto ask = [&fixture](auto aChange) {
    net::HttpRequest request = CallerFixture::Request("read");
    aChange(request);
    return fixture.Ask("vm-1", request);
  };
  CheckRefused(ask([](auto& aRequest) { aRequest.target = "/v2"; }), "not_found");
  CheckRefused(ask([](auto& aRequest) { aRequest.method = "GET"; }), "not_found");
  CheckRefused(ask([](auto& aRequest) { aRequest.target = "/v1/query/nope"; }), "unknown_index");
  CheckRefused(ask([](auto& aRequest) { aRequest.target = "/v1/query/other"; }),
               "index_not_allowed");
  CheckRefused(ask([](auto& aRequest) { aRequest.headers[0].value = "nope"; }), "unknown_profile");
  CheckRefused(ask([](auto& aRequest) { aRequest.headers.clear(); }), "unknown_profile");
  for (const std::string deadline : { "0", "-5", "1e9", "", "99999999999999999999", "5001" }) {
    CheckRefused(ask([&](auto& aRequest) { aRequest.headers[1].value = deadline; }),
                 "bad_deadline");
  }
  for (const std::string body : { "", "{", "[]", "null", "{\"size\":0}", "{\"size\":\"x\"}" }) {
    CheckRefused(ask([&](auto& aRequest) { aRequest.body = body; }), "malformed");
  }
  CheckRefused(ask([](auto& aRequest) { aRequest.body = std::string(300'000, ' ') + "{}"; }),
               "body_too_large");
  CheckRefused(ask([](auto& aRequest) {
                 aRequest.body =
                   "{\"a\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
               }),
               "malformed");
  CheckRefused(ask([](auto& aRequest) { aRequest.headers[0].value = "write"; }), "bad_identity");
  BOOST_TEST(fixture.runs.empty());
}

BOOST_AUTO_TEST_CASE(refuses_without_configuration_and_while_leaving)
{
  CallerFixture fixture;
  fixture.StartDaemon("vm-1", "a");
  fixture.daemons.at("vm-1")->isLeaving = true;
  CheckRefused(fixture.Ask("vm-1", CallerFixture::Request("read")), "leaving");
  fixture.configuration = nullptr;
  CheckRefused(fixture.Ask("vm-1", CallerFixture::Request("read")), "not_ready");
}

BOOST_AUTO_TEST_CASE(counts_refusals_by_kind)
{
  CallerFixture fixture;
  fixture.StartDaemon("vm-1", "a");
  fixture.Ask("vm-1", CallerFixture::Request("nope"));
  const std::string text = fixture.daemons.at("vm-1")->metrics.Render();
  BOOST_TEST(text.find("skylarkwing_caller_refusals_total{kind=\"unknown_profile\"} 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(unreadable_requests_get_a_typed_refusal_and_are_counted)
{
  CallerFixture fixture;
  fixture.StartDaemon("vm-1", "a");
  CallerFrontend& frontend = *fixture.daemons.at("vm-1")->frontend;
  const auto read = [&frontend](net::HttpRequestError aError) {
    const net::HttpResponse response = frontend.RefuseUnreadable(aError);
    return Reply{ response.status, nlohmann::json::parse(response.body) };
  };
  CheckRefused(read(net::HttpRequestError::Malformed), "malformed");
  CheckRefused(read(net::HttpRequestError::TooSlow), "malformed");
  CheckRefused(read(net::HttpRequestError::BodyTooLarge), "body_too_large");
  const Reply tooManyConnections = read(net::HttpRequestError::TooManyConnections);
  CheckRefused(tooManyConnections, "overloaded");
  BOOST_TEST(tooManyConnections.body["retryAfterMs"] == 1000);
  const std::string text = fixture.daemons.at("vm-1")->metrics.Render();
  BOOST_TEST(text.find("skylarkwing_caller_refusals_total{kind=\"malformed\"} 2") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(any_bytes_get_a_typed_response)
{
  const bool isPassed = rc::check([] {
    CallerFixture fixture;
    fixture.StartDaemon("vm-1", "a");
    net::HttpRequest request;
    request.method = *rc::gen::element<std::string>("GET", "POST", "PUT", "");
    request.target = *rc::gen::oneOf(
      rc::gen::arbitrary<std::string>(),
      rc::gen::element<std::string>(
        "/v1/query/catalogue", "/v1/query/", "/v1/entry-points", "/v1/entry-points?%"));
    for (const char* name :
         { "Skylarkwing-Profile", "Skylarkwing-Deadline-Ms", "Skylarkwing-Request-Id" }) {
      if (*rc::gen::arbitrary<bool>()) {
        request.headers.push_back({ name, *TextGenerator() });
      }
    }
    request.body = *TextGenerator();
    const Reply reply = fixture.Ask("vm-1", request);
    RC_ASSERT(reply.status >= 200U);
    if (reply.status != 200U) {
      RC_ASSERT(reply.body["error"].is_string());
      RC_ASSERT(reply.body["executed"] == "no" || reply.body["executed"] == "unknown");
    }
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_CASE(any_peer_message_is_handled)
{
  const bool isPassed = rc::check([] {
    CallerFixture fixture;
    fixture.StartDaemon("vm-1", "a");
    const nlohmann::json body = nlohmann::json::parse(*TextGenerator(), nullptr, false);
    nlohmann::json request = { { "forwardId", "f" },           { "identity", *TextGenerator() },
                               { "index", *TextGenerator() },  { "profile", *TextGenerator() },
                               { "search", *TextGenerator() }, { "remainingMicroseconds", -5 } };
    net::PeerMessageOrigin origin;
    origin.vm = "vm-9";
    auto& handlers = fixture.daemons.at("vm-1")->bus.handlers;
    for (const auto& message : { body, request }) {
      handlers.at("home-request")(origin, message);
      handlers.at("home-reply")(origin, message);
    }
    fixture.Advance(1s);
    RC_ASSERT(fixture.runs.empty());
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::test
