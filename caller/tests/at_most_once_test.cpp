#include "caller/tests/caller_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::caller::test {

using namespace std::chrono_literals;

namespace {

const std::string kIdentity = "vm-1.a.10.order-1";
const std::string kSearch = "{\"q\":1}";

net::HttpRequest
Write(const std::string& aIdentity = kIdentity)
{
  return CallerFixture::Request("write", aIdentity, kSearch);
}

void
StartThree(CallerFixture& aFixture)
{
  aFixture.StartNode("vm-1", "a");
  aFixture.StartNode("vm-2", "b");
  aFixture.StartNode("vm-3", "c");
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(a_request_sent_again_gets_the_first_outcome)
{
  CallerFixture fixture;
  StartThree(fixture);
  const Reply first = fixture.Ask("vm-1", Write());
  const Reply again = fixture.Ask("vm-1", Write());
  const Reply elsewhere = fixture.Ask("vm-2", Write());
  BOOST_TEST(first.status == 200U);
  BOOST_TEST(again.body == first.body);
  BOOST_TEST(elsewhere.body == first.body);
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(requests_that_cross_share_one_run)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.Send("vm-2", Write());
  fixture.Send("vm-1", Write());
  fixture.Send("vm-3", Write());
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
  StartThree(fixture);
  fixture.isCarried = [](const std::string& aKind) { return aKind != "home-reply"; };
  const Reply reply = fixture.Ask("vm-2", Write());
  BOOST_TEST(reply.body["error"] == "home_silent");
  BOOST_TEST(reply.body["executed"] == "unknown");
  fixture.isCarried = [](const std::string&) { return true; };
  BOOST_TEST(fixture.Ask("vm-3", Write()).status == 200U);
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_home_that_is_gone_or_restarted_leaves_the_outcome_unknown)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.Ask("vm-1", Write());
  fixture.StartNode("vm-1", "another");
  // Nobody needs to ask the new process, which could know nothing.
  fixture.isCarried = [](const std::string&) { return false; };
  for (const std::string vm : { "vm-1", "vm-2" }) {
    const Reply reply = fixture.Ask(vm, Write());
    BOOST_TEST(reply.body["error"] == "home_lost");
    BOOST_TEST(reply.body["executed"] == "unknown");
  }
  fixture.StopNode("vm-1");
  BOOST_TEST(fixture.Ask("vm-3", Write()).body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_home_that_falls_while_the_request_runs_leaves_the_outcome_unknown)
{
  CallerFixture fixture;
  StartThree(fixture);
  const std::size_t n = fixture.Send("vm-2", Write());
  fixture.Advance(10ms);
  fixture.StopNode("vm-1");
  fixture.Advance(300ms);
  BOOST_REQUIRE(fixture.replies[n].has_value());
  BOOST_TEST(fixture.replies[n]->body["executed"] == "unknown");
  BOOST_TEST(fixture.Ask("vm-3", Write()).body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(an_outcome_is_kept_for_as_long_as_its_epoch_is_accepted)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.Ask("vm-1", Write());
  fixture.epoch = 13;
  BOOST_TEST(fixture.Ask("vm-1", Write()).status == 200U);
  fixture.epoch = 14;
  const Reply late = fixture.Ask("vm-1", Write());
  BOOST_TEST(late.body["error"] == "identity_expired");
  BOOST_TEST(late.body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_full_table_refuses_new_requests_and_forgets_none)
{
  CallerFixture fixture;
  fixture.runTable.entries = 2;
  StartThree(fixture);
  fixture.Ask("vm-1", Write("vm-1.a.10.1"));
  fixture.Ask("vm-1", Write("vm-1.a.10.2"));
  const Reply refused = fixture.Ask("vm-1", Write("vm-1.a.10.3"));
  BOOST_TEST(refused.body["error"] == "run_table_full");
  BOOST_TEST(refused.body["executed"] == "no");
  BOOST_TEST(fixture.Ask("vm-1", Write("vm-1.a.10.1")).status == 200U);
  BOOST_TEST(fixture.runs[kSearch] == 2);
}

BOOST_AUTO_TEST_CASE(an_outcome_too_large_to_keep_is_not_run_again)
{
  CallerFixture fixture;
  fixture.runTable.outcomeBytes = 10;
  StartThree(fixture);
  fixture.Ask("vm-1", Write());
  const Reply again = fixture.Ask("vm-1", Write());
  BOOST_TEST(again.body["error"] == "outcome_lost");
  BOOST_TEST(again.body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_certainly_did_not_run_may_be_sent_again)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.nodes.at("vm-1")->mayTakeNewWork = false;
  const Reply refused = fixture.Ask("vm-2", Write());
  BOOST_TEST(refused.body["error"] == "not_ready");
  BOOST_TEST(refused.body["executed"] == "no");
  fixture.nodes.at("vm-1")->mayTakeNewWork = true;
  BOOST_TEST(fixture.Ask("vm-2", Write()).status == 200U);
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_kept_as_unknown)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.result.status = query::QueryStatus::Refused;
  fixture.result.refusal = query::QueryRefusal::Unavailable;
  fixture.result.executed = query::Executed::Unknown;
  fixture.Ask("vm-1", Write());
  BOOST_TEST(fixture.Ask("vm-1", Write()).body["executed"] == "unknown");
  BOOST_TEST(fixture.runs[kSearch] == 1);
}

BOOST_AUTO_TEST_CASE(a_malformed_repeat_of_a_request_that_ran_does_not_say_not_run)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.Ask("vm-1", Write());
  for (const std::string vm : { "vm-1", "vm-2" }) {
    net::HttpRequest repeat = Write();
    repeat.body = "{";
    BOOST_TEST(fixture.Ask(vm, repeat).body["executed"] == "unknown");
  }
  net::HttpRequest fresh = Write("vm-1.a.10.fresh");
  fresh.body = "{";
  BOOST_TEST(fixture.Ask("vm-1", fresh).body["executed"] == "no");
}

BOOST_AUTO_TEST_CASE(an_identity_stands_for_one_request)
{
  CallerFixture fixture;
  StartThree(fixture);
  fixture.Ask("vm-1", Write());
  net::HttpRequest other = Write();
  other.body = "{\"q\":2}";
  BOOST_TEST(fixture.Ask("vm-1", other).body["error"] == "identity_reused");
  BOOST_TEST(fixture.runs["{\"q\":2}"] == 0);
}

BOOST_AUTO_TEST_CASE(runs_once_whatever_is_lost_late_or_restarted)
{
  const bool isHeld = rc::check([] {
    CallerFixture fixture;
    StartThree(fixture);
    const int steps = *rc::gen::inRange(2, 12);
    for (int n = 0; n < steps; ++n) {
      const int step = *rc::gen::inRange(0, 10);
      const std::string vm = "vm-" + std::to_string(*rc::gen::inRange(1, 4));
      if (step == 0) {
        fixture.StartNode(vm, "i" + std::to_string(n));
      } else if (step == 1) {
        fixture.epoch += 1;
      } else if (step == 2) {
        const bool isLost = *rc::gen::arbitrary<bool>();
        fixture.isCarried = [isLost](const std::string& aKind) {
          return !isLost || aKind != "home-reply";
        };
      } else if (step == 3) {
        fixture.way = std::chrono::milliseconds{ *rc::gen::inRange(1, 150) };
      } else if (step == 4) {
        fixture.Advance(std::chrono::milliseconds{ *rc::gen::inRange(1, 60) });
      } else {
        fixture.Send(vm, Write());
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
  BOOST_TEST(isHeld);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::test
