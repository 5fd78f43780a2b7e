#include "core/virtual_timer_service.h"
#include "net/tests/fake_peer_bus.h"
#include "upstream/part_router.h"
#include "upstream/upstream_messages.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

namespace {

using namespace std::chrono_literals;

using net::test::FakePeerBus;

/** One daemon's router, with a dispatcher whose answers the test gives. */
struct Node
{
  Node(core::VirtualTimerService& aTimers, FakePeerBus::Network& aNetwork, const std::string& aVm)
    : bus(aNetwork, aVm)
    , router(aTimers, metrics, bus, aVm, MakeHooks())
  {
  }

  PartRouterHooks MakeHooks()
  {
    PartRouterHooks hooks;
    hooks.ownerOf = [](const std::string& aReplica) {
      return aReplica == "orphan" ? std::string() : "vm-" + aReplica;
    };
    hooks.dispatch = [this](PartRequest aPart, PartCallback aCallback) {
      parts.push_back(std::move(aPart));
      callbacks.push_back(std::move(aCallback));
    };
    hooks.cancel = [this](const std::string& aPartId) { cancelled.push_back(aPartId); };
    return hooks;
  }

  core::Metrics metrics;
  FakePeerBus bus;
  std::vector<PartRequest> parts;
  std::vector<PartCallback> callbacks;
  std::vector<std::string> cancelled;
  PartRouter router;
};

struct Fixture
{
  void Send(const std::string& aId, const std::string& aReplica)
  {
    PartRequest part;
    part.partId = aId;
    part.replica = aReplica;
    part.search = R"({"q":1})";
    part.snapshot = 7;
    part.deadline = timers.Now() + 100ms;
    sender.router.Send(std::move(part),
                       [this](PartAnswer aAnswer) { answers.push_back(std::move(aAnswer)); });
  }

  static PartAnswer Answered(const std::string& aId)
  {
    PartAnswer answer;
    answer.partId = aId;
    answer.status = PartStatus::Answered;
    answer.hits = { { "h", 0.5, "{}" } };
    return answer;
  }

  core::VirtualTimerService timers;
  FakePeerBus::Network network;
  Node sender{ timers, network, "vm-a" };
  Node owner{ timers, network, "vm-b" };
  std::vector<PartAnswer> answers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(part_router, Fixture)

BOOST_AUTO_TEST_CASE(parts_of_one_loop_iteration_share_a_message_and_lose_its_age)
{
  sender.bus.age = 30ms;
  Send("p1", "b");
  Send("p2", "b");
  timers.Advance(0ms);
  BOOST_TEST(sender.bus.sent == 1);
  BOOST_REQUIRE(owner.parts.size() == 2U);
  BOOST_TEST(owner.parts[1].search == R"({"q":1})");
  BOOST_TEST((owner.parts[0].deadline == timers.Now() + 70ms));
  owner.callbacks[0](Answered("p1"));
  timers.Advance(0ms);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].hits[0].id == "h");
}

BOOST_AUTO_TEST_CASE(parts_that_were_not_handed_over_did_not_run)
{
  sender.bus.unreachableVms.insert("vm-b");
  Send("p1", "b");
  Send("p2", "orphan");
  timers.Advance(0ms);
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST(NameOf(answers[0].status) == "not_run");
  BOOST_TEST(NameOf(answers[1].status) == "not_run");
}

BOOST_AUTO_TEST_CASE(a_lost_owner_or_a_passed_deadline_leaves_parts_unknown)
{
  Send("p1", "b");
  Send("p2", "b");
  timers.Advance(10ms);
  sender.router.OnMemberGone("vm-b");
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST(NameOf(answers[0].status) == "unknown");
  Send("p3", "b");
  timers.Advance(1s);
  BOOST_REQUIRE(answers.size() == 3U);
  BOOST_TEST(NameOf(answers[2].status) == "unknown");
  owner.callbacks[2](Answered("p3"));
  timers.Advance(0ms);
  BOOST_TEST(answers.size() == 3U);
  BOOST_TEST(sender.router.Outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_waits_until_its_sender_can_be_reached)
{
  owner.bus.unreachableVms.insert("vm-a");
  Send("p1", "b");
  timers.Advance(10ms);
  owner.callbacks[0](Answered("p1"));
  timers.Advance(30ms);
  BOOST_TEST(answers.empty());
  owner.bus.unreachableVms.clear();
  timers.Advance(20ms);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(NameOf(answers[0].status) == "answered");
}

BOOST_AUTO_TEST_CASE(a_cancel_goes_to_the_owner)
{
  Send("p1", "b");
  timers.Advance(0ms);
  sender.router.Cancel("b", "p1");
  timers.Advance(0ms);
  BOOST_REQUIRE(owner.cancelled.size() == 1U);
  BOOST_TEST(owner.cancelled[0] == "p1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
