#include "caller/forward_terms.h"
#include "caller/peer_choice.h"
#include "caller/peer_forwarder.h"

#include "core/virtual_timer_service.h"

#include <boost/asio/io_context.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

namespace skylarkwing::caller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ChoiceFixture
{
  core::VirtualTimerService timers;
  core::RandomSource random{ 20261205 };
  PeerChoice choice{ timers, random, "north" };
  std::vector<ForwardPeer> peers{ { "n1", "10.1.0.1:1", "north", 1.0, false },
                                  { "n2", "10.1.0.2:1", "north", 3.0, false },
                                  { "s1", "10.2.0.1:1", "south", 1.0, false },
                                  { "s2", "10.2.0.2:1", "south", 1.0, true } };

  std::string Choose(const std::vector<std::string>& aTried = {},
                     const std::vector<std::string>& aRegions = {})
  {
    const ForwardPeer* peer = choice.Choose(peers, aTried, aRegions);
    return peer == nullptr ? std::string() : peer->vm;
  }
};

/** Connection to a daemon that replies as scripted; without a reply it breaks. */
class ScriptedConnection : public net::HttpConnection
{
public:
  explicit ScriptedConnection(std::vector<std::optional<ForwardOutcome>>& aScript)
    : mScript(aScript)
  {
  }

  core::Task<bool> Connect([[maybe_unused]] std::string aAddress,
                           [[maybe_unused]] core::Duration aTimeout) override
  {
    co_return true;
  }

  core::Task<net::HttpResult> Exchange([[maybe_unused]] net::HttpRequest aRequest,
                                       [[maybe_unused]] core::Duration aTimeout) override
  {
    const std::optional<ForwardOutcome> outcome = mScript.front();
    mScript.erase(mScript.begin());
    net::HttpResult result;
    if (outcome) {
      AddForwardOutcome(result.response, *outcome);
    } else {
      result.error = net::HttpClientError::Broken;
    }
    co_return result;
  }

  core::Task<net::HttpResult> ReadNext([[maybe_unused]] core::Duration aTimeout) override
  {
    co_return net::HttpResult{};
  }

  bool IsOpen() const override { return false; }
  void Close() override {}

private:
  std::vector<std::optional<ForwardOutcome>>& mScript;
};

struct ForwarderFixture : ChoiceFixture
{
  boost::asio::io_context loop;
  core::Metrics metrics;
  std::vector<std::optional<ForwardOutcome>> script;

  query::RequestOutcome Forward(bool aIsIdempotent, bool aMayHaveRun, std::size_t aMaxRuns = 3)
  {
    PeerForwarderHooks hooks;
    hooks.listPeers = [this] { return peers; };
    hooks.setDeadline = [](net::HttpRequest&, core::Duration) {};
    hooks.setApiKey = [](net::HttpRequest&, const std::string&) {};
    const net::HttpConnectionFactory factory = [this] {
      return std::make_shared<ScriptedConnection>(script);
    };
    PeerForwarder forwarder(timers, random, metrics, factory, "north", std::move(hooks));
    auto request = std::make_shared<upstream::ForwardedRequest>();
    request->isIdempotent = aIsIdempotent;
    ForwardPlan plan;
    plan.request = request;
    plan.arrival = timers.Now();
    plan.deadline = timers.Now() + seconds{ 1 };
    plan.patience = seconds{ 1 };
    plan.mayHaveRun = aMayHaveRun;
    plan.maxRuns = aMaxRuns;
    query::RequestOutcome outcome = query::RequestOutcome::CallerGone;
    core::Start(loop.get_executor(), Run(forwarder, std::move(plan), outcome));
    loop.run();
    return outcome;
  }

  static core::Task<void> Run(PeerForwarder& aForwarder,
                              ForwardPlan aPlan,
                              query::RequestOutcome& aOutcome)
  {
    auto run = std::make_shared<ForwardRun>();
    const query::RequestResult result = co_await aForwarder.Forward(std::move(aPlan), run);
    aOutcome = result.outcome;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_forwarder, ForwarderFixture)

BOOST_AUTO_TEST_CASE(a_request_that_no_daemon_can_serve_has_not_run)
{
  script = { { { ForwardVerdict::NotRun, "partitioned" } },
             { { ForwardVerdict::NotRun, "stopping" } },
             { { ForwardVerdict::NotRun, "outdated" } },
             { { ForwardVerdict::NotRun, "overloaded" } } };
  BOOST_TEST((Forward(false, false) == query::RequestOutcome::NotRun));
  BOOST_TEST(script.empty());
}

BOOST_AUTO_TEST_CASE(a_caller_is_told_that_a_request_has_not_run_although_it_may_have)
{
  script.assign(4, ForwardOutcome{ ForwardVerdict::NotRun, "overloaded" });
  BOOST_TEST((Forward(true, true) == query::RequestOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(a_refusal_of_another_daemon_reaches_a_caller_whose_request_may_have_run)
{
  script = { { { ForwardVerdict::Final, "quarantined" } } };
  BOOST_TEST((Forward(true, true) == query::RequestOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_once_is_sent_on_after_its_answer_was_lost)
{
  script = { std::nullopt, { { ForwardVerdict::Final, "" } } };
  BOOST_TEST((Forward(false, false) == query::RequestOutcome::Failed));
  BOOST_TEST(script.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_not_sent_on_after_its_answer_was_lost)
{
  script = { std::nullopt,
             { { ForwardVerdict::Lost, "partitioned" } },
             { { ForwardVerdict::Final, "" } } };
  BOOST_TEST((Forward(true, false) == query::RequestOutcome::Forwarded));
}

BOOST_AUTO_TEST_CASE(a_request_runs_at_one_daemon_after_the_other_when_none_answers_in_time)
{
  script = { std::nullopt, std::nullopt, { { ForwardVerdict::Final, "" } } };
  BOOST_TEST((Forward(true, false, 2) == query::RequestOutcome::Failed));
  BOOST_TEST(script.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(peer_choice, ChoiceFixture)

BOOST_AUTO_TEST_CASE(requests_leave_the_region_although_a_daemon_there_can_serve_them)
{
  BOOST_TEST(Choose({ "n1" }) == "n2");
  BOOST_TEST(Choose({ "n1", "n2" }) == "s1");
  BOOST_TEST(Choose({ "n1", "n2", "s1" }) == "s2");
  BOOST_TEST(Choose({ "n1", "n2", "s1", "s2" }).empty());
}

BOOST_AUTO_TEST_CASE(small_daemons_get_as_much_as_large_ones)
{
  std::map<std::string, int> chosen;
  for (int n = 0; n < 400; ++n) {
    ++chosen[Choose()];
  }
  BOOST_TEST(chosen.size() == 2U);
  BOOST_TEST(chosen["n2"] > 2 * chosen["n1"]);
}

BOOST_AUTO_TEST_CASE(a_request_is_sent_to_a_region_that_it_must_not_enter)
{
  BOOST_TEST(Choose({}, { "south" }) == "s1");
  BOOST_TEST(Choose({}, { "east" }).empty());
}

BOOST_AUTO_TEST_CASE(a_daemon_that_can_not_serve_is_asked_again_and_again)
{
  choice.RecordFailure("n1", PeerFailure::Partitioned);
  choice.RecordFailure("n2", PeerFailure::Overloaded);
  BOOST_TEST(Choose() == "s1");
  timers.Advance(milliseconds{ 300 });
  BOOST_TEST(Choose() == "n2");
  choice.RecordFailure("n2", PeerFailure::Unsupported);
  timers.Advance(seconds{ 1 });
  BOOST_TEST(Choose() == "n1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(forward_terms)

BOOST_AUTO_TEST_CASE(terms_change_on_their_way_to_another_daemon)
{
  net::HttpRequest request;
  request.headers = { { "Request-Id", "id-1" }, { "Skylarkwing-Forward-Origin", "forged" } };
  ForwardTerms terms;
  terms.origin = "vm-1";
  terms.version = 7;
  terms.age = milliseconds{ 42 };
  terms.isRepeat = true;
  terms.domainsOut = { "gent", "namur" };
  AddForwardTerms(request, terms);
  BOOST_TEST(IsForwarded(request));
  const auto read = TakeForwardTerms(request);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->origin == "vm-1");
  BOOST_TEST(read->version == 7U);
  BOOST_TEST((read->age == milliseconds{ 42 }));
  BOOST_TEST(read->isRepeat);
  BOOST_TEST(read->domainsOut == terms.domainsOut);
  BOOST_REQUIRE(request.headers.size() == 1U);
  BOOST_TEST(request.headers[0].name == "Request-Id");
}

BOOST_AUTO_TEST_CASE(the_name_of_a_failure_domain_changes_or_ends_its_field)
{
  ForwardTerms terms;
  terms.origin = "vm-1";
  terms.domainsOut = {
    "a\r\nX-Injected: 1", " b ", "c%41", "d,e", "f+g h", "\xc3\xa9\xff", "gent"
  };
  net::HttpRequest request;
  AddForwardTerms(request, terms);
  BOOST_TEST(net::IsWritable(request));
  const auto read = TakeForwardTerms(request);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->domainsOut == terms.domainsOut));
}

BOOST_AUTO_TEST_CASE(terms_that_are_unreadable_are_used)
{
  for (const char* age : { "", "-1", "soon", "99999999999" }) {
    net::HttpRequest request;
    request.headers = { { "Skylarkwing-Forward-Origin", "vm-1" },
                        { "Skylarkwing-Forward-Version", "7" },
                        { "Skylarkwing-Forward-Age-Ms", age } };
    BOOST_TEST(!TakeForwardTerms(request).has_value());
  }
}

BOOST_AUTO_TEST_CASE(the_response_of_an_earlier_build_is_taken_for_an_answer)
{
  net::HttpResponse response;
  response.status = 404;
  BOOST_TEST(!TakeForwardOutcome(response).has_value());
  AddForwardOutcome(response, { ForwardVerdict::Lost, "partitioned" });
  const auto outcome = TakeForwardOutcome(response);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->verdict == ForwardVerdict::Lost));
  BOOST_TEST(outcome->reason == "partitioned");
  BOOST_TEST(response.headers.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::tests
