#include "caller/tests/caller_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::caller::test {

using namespace std::chrono_literals;

namespace {

const std::string kIdentity = "vm-1.a.10.order-1";
const std::string kSearch = "{\"q\":1}";

net::HttpRequest
WriteRequest(const std::string& aIdentity = kIdentity)
{
  return CallerFixture::Request("write", aIdentity, kSearch);
}

void
StartThreeDaemons(CallerFixture& aFixture)
{
  aFixture.StartDaemon("vm-1", "a");
  aFixture.StartDaemon("vm-2", "b");
  aFixture.StartDaemon("vm-3", "c");
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_first_outcome)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  const Reply first = fixture.Ask("vm-1", WriteRequest());
  const Reply again = fixture.Ask("vm-1", WriteRequest());
  const Reply elsewhere = fixture.Ask("vm-2", WriteRequest());
  BOOST_TEST(first.status == 200U);
  BOOST_TEST(again.body == first.body);
  BOOST_TEST(elsewhere.body == first.body);
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(concurrent_duplicates_share_one_run)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.Send("vm-2", WriteRequest());
  fixture.Send("vm-1", WriteRequest());
  fixture.Send("vm-3", WriteRequest());
  fixture.Advance(100ms);
  for (const auto& reply : fixture.replies) {
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 200U);
  }
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_reply_leaves_the_outcome_unknown)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.isDelivered = [](const std::string& aKind) { return aKind != "home-reply"; };
  const Reply reply = fixture.Ask("vm-2", WriteRequest());
  BOOST_TEST(reply.body["error"] == "home_silent");
  BOOST_TEST(reply.body["executed"] == "unknown");
  fixture.isDelivered = [](const std::string&) { return true; };
  BOOST_TEST(fixture.Ask("vm-3", WriteRequest()).status == 200U);
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_home_that_is_gone_or_restarted_leaves_the_outcome_unknown)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.Ask("vm-1", WriteRequest());
  fixture.StartDaemon("vm-1", "another");
  // The new process does not know the request, so the answer needs no message to it.
  fixture.isDelivered = [](const std::string&) { return false; };
  for (const std::string vm : { "vm-1", "vm-2" }) {
    const Reply reply = fixture.Ask(vm, WriteRequest());
    BOOST_TEST(reply.body["error"] == "home_lost");
    BOOST_TEST(reply.body["executed"] == "unknown");
  }
  fixture.StopDaemon("vm-1");
  BOOST_TEST(fixture.Ask("vm-3", WriteRequest()).body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_home_that_stops_while_the_request_runs_leaves_the_outcome_unknown)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  const std::size_t n = fixture.Send("vm-2", WriteRequest());
  fixture.Advance(10ms);
  fixture.StopDaemon("vm-1");
  fixture.Advance(300ms);
  BOOST_REQUIRE(fixture.replies[n].has_value());
  BOOST_TEST(fixture.replies[n]->body["executed"] == "unknown");
  BOOST_TEST(fixture.Ask("vm-3", WriteRequest()).body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(an_outcome_is_stored_while_its_epoch_is_accepted)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.Ask("vm-1", WriteRequest());
  fixture.epoch = 13;
  BOOST_TEST(fixture.Ask("vm-1", WriteRequest()).status == 200U);
  fixture.epoch = 14;
  const Reply late = fixture.Ask("vm-1", WriteRequest());
  BOOST_TEST(late.body["error"] == "identity_expired");
  BOOST_TEST(late.body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_full_table_refuses_new_requests_and_drops_no_entry)
{
  CallerFixture fixture;
  fixture.runTable.entries = 2;
  StartThreeDaemons(fixture);
  fixture.Ask("vm-1", WriteRequest("vm-1.a.10.1"));
  fixture.Ask("vm-1", WriteRequest("vm-1.a.10.2"));
  const Reply refused = fixture.Ask("vm-1", WriteRequest("vm-1.a.10.3"));
  BOOST_TEST(refused.body["error"] == "run_table_full");
  BOOST_TEST(refused.body["executed"] == "no");
  BOOST_TEST(fixture.Ask("vm-1", WriteRequest("vm-1.a.10.1")).status == 200U);
  BOOST_TEST(fixture.runs[kSearch] == 2);
}

BOOST_AUTO_TEST_CASE(a_request_whose_outcome_is_too_large_to_store_is_not_run_again)
{
  CallerFixture fixture;
  fixture.runTable.outcomeBytes = 10;
  StartThreeDaemons(fixture);
  fixture.Ask("vm-1", WriteRequest());
  const Reply again = fixture.Ask("vm-1", WriteRequest());
  BOOST_TEST(again.body["error"] == "outcome_lost");
  BOOST_TEST(again.body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_certainly_did_not_run_may_be_retried)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.daemons.at("vm-1")->mayTakeNewWork = false;
  const Reply refused = fixture.Ask("vm-2", WriteRequest());
  BOOST_TEST(refused.body["error"] == "not_ready");
  BOOST_TEST(refused.body["executed"] == "no");
  fixture.daemons.at("vm-1")->mayTakeNewWork = true;
  BOOST_TEST(fixture.Ask("vm-2", WriteRequest()).status == 200U);
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_kept_as_unknown)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.result.status = query::QueryStatus::Refused;
  fixture.result.refusal = query::QueryRefusal::Unavailable;
  fixture.result.executed = query::Executed::Unknown;
  fixture.Ask("vm-1", WriteRequest());
  BOOST_TEST(fixture.Ask("vm-1", WriteRequest()).body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_malformed_repeat_of_a_request_that_ran_does_not_report_not_executed)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.Ask("vm-1", WriteRequest());
  for (const std::string vm : { "vm-1", "vm-2" }) {
    net::HttpRequest repeat = WriteRequest();
    repeat.body = "{";
    BOOST_TEST(fixture.Ask(vm, repeat).body["executed"] == "unknown");
  }
  net::HttpRequest fresh = WriteRequest("vm-1.a.10.fresh");
  fresh.body = "{";
  BOOST_TEST(fixture.Ask("vm-1", fresh).body["executed"] == "no");
}

BOOST_AUTO_TEST_CASE(an_identity_identifies_one_request)
{
  CallerFixture fixture;
  StartThreeDaemons(fixture);
  fixture.Ask("vm-1", WriteRequest());
  net::HttpRequest other = WriteRequest();
  other.body = "{\"q\":2}";
  BOOST_TEST(fixture.Ask("vm-1", other).body["error"] == "identity_reused");
  BOOST_TEST(fixture.runs["{\"q\":2}"] == 0);
}

BOOST_AUTO_TEST_CASE(runs_at_most_once_despite_losses_delays_and_restarts)
{
  const bool isPassed = rc::check([] {
    CallerFixture fixture;
    StartThreeDaemons(fixture);
    const int steps = *rc::gen::inRange(2, 12);
    for (int n = 0; n < steps; ++n) {
      const int step = *rc::gen::inRange(0, 10);
      const std::string vm = "vm-" + std::to_string(*rc::gen::inRange(1, 4));
      if (step == 0) {
        fixture.StartDaemon(vm, "i" + std::to_string(n));
      } else if (step == 1) {
        fixture.epoch += 1;
      } else if (step == 2) {
        const bool isLost = *rc::gen::arbitrary<bool>();
        fixture.isDelivered = [isLost](const std::string& aKind) {
          return !isLost || aKind != "home-reply";
        };
      } else if (step == 3) {
        fixture.latency = std::chrono::milliseconds{ *rc::gen::inRange(1, 150) };
      } else if (step == 4) {
        fixture.Advance(std::chrono::milliseconds{ *rc::gen::inRange(1, 60) });
      } else {
        fixture.Send(vm, WriteRequest());
      }
    }
    fixture.Advance(1s);
    RC_ASSERT(fixture.runs[kSearch] <= 1);
    for (const auto& reply : fixture.replies) {
      RC_ASSERT(reply.has_value());
      if (reply->status == 200U) {
        RC_ASSERT(fixture.runs[kSearch] == 1);
      } else if (reply->body["executed"] == "no") {
        RC_ASSERT(fixture.runs[kSearch] == 0);
      }
    }
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::test
