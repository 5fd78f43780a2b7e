#include "console/operator_access.h"

#include "core/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::console {

namespace {

struct AccessFixture
{
  static net::HttpRequest Request(const std::string& aToken)
  {
    net::HttpRequest request;
    request.target = "/v1/status";
    request.clientAddress = "127.0.0.1:5000";
    request.headers = { { "Host", "10.0.0.1:7300" }, { "Authorization", "Bearer " + aToken } };
    return request;
  }

  core::VirtualTimerService timers;
  core::Metrics metrics;
  OperatorAccess access{ timers, metrics, { "read-secret", "change-secret" } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_access, AccessFixture)

BOOST_AUTO_TEST_CASE(tokens_grant_their_rights)
{
  BOOST_TEST(!access.Check(Request("read-secret"), OperatorRight::Read));
  BOOST_TEST(!access.Check(Request("change-secret"), OperatorRight::Read));
  BOOST_TEST(!access.Check(Request("change-secret"), OperatorRight::Change));
  BOOST_TEST(
    (access.Check(Request("read-secret"), OperatorRight::Change) == AccessRefusal::Forbidden));
  BOOST_TEST((access.Check(Request("other"), OperatorRight::Read) == AccessRefusal::Unauthorized));
  BOOST_TEST((access.Check(Request(""), OperatorRight::Read) == AccessRefusal::Unauthorized));
}

BOOST_AUTO_TEST_CASE(an_empty_secret_admits_nobody)
{
  OperatorAccess closed(timers, metrics, {});
  BOOST_TEST((closed.Check(Request(""), OperatorRight::Read) == AccessRefusal::Unauthorized));
  BOOST_TEST(!MatchesSecret("", ""));
}

BOOST_AUTO_TEST_CASE(secrets_match_only_equal_strings)
{
  BOOST_TEST(rc::check("MatchesSecret", [](const std::string& aLeft, const std::string& aRight) {
    RC_ASSERT(MatchesSecret(aLeft, aRight) == (aLeft == aRight && !aRight.empty()));
    RC_ASSERT(MatchesSecret(aLeft, aLeft) == !aLeft.empty());
    RC_ASSERT(!MatchesSecret(aLeft + aLeft, aLeft));
    RC_ASSERT(!MatchesSecret(aLeft, aLeft + "x"));
  }));
}

BOOST_AUTO_TEST_CASE(pages_of_other_sites_are_refused)
{
  net::HttpRequest request = Request("change-secret");
  request.headers.push_back({ "Origin", "http://evil.example" });
  BOOST_TEST((access.Check(request, OperatorRight::Read) == AccessRefusal::CrossSite));
  request.headers.back() = { "Origin", "http://10.0.0.1:7300" };
  BOOST_TEST(!access.Check(request, OperatorRight::Read));
  request.headers.back() = { "Origin", "null" };
  BOOST_TEST((access.Check(request, OperatorRight::Read) == AccessRefusal::CrossSite));
  request.headers.back() = { "Sec-Fetch-Site", "same-site" };
  BOOST_TEST((access.Check(request, OperatorRight::Read) == AccessRefusal::CrossSite));
  request.headers.back() = { "Sec-Fetch-Site", "same-origin" };
  BOOST_TEST(!access.Check(request, OperatorRight::Read));
}

BOOST_AUTO_TEST_CASE(an_html_form_cannot_change_anything)
{
  net::HttpRequest request = Request("change-secret");
  request.method = "POST";
  request.headers.push_back({ "Content-Type", "text/plain" });
  BOOST_TEST((access.Check(request, OperatorRight::Change) == AccessRefusal::ContentType));
  request.headers.back().value = "application/json; charset=utf-8";
  BOOST_TEST(!access.Check(request, OperatorRight::Change));
}

BOOST_AUTO_TEST_CASE(every_refusal_is_counted)
{
  for (int n = 0; n < 400; ++n) {
    net::HttpRequest request = Request("other");
    request.clientAddress = "10.0." + std::to_string(n % 3) + ".1:80";
    access.Check(request, OperatorRight::Read);
  }
  const std::string line =
    "skylarkwing_console_requests_refused_total{reason=\"unauthorized\"} 400";
  BOOST_TEST(metrics.Render().find(line) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
