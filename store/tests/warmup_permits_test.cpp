#include "store/warmup_permits.h"

#include "store/tests/fake_store.h"
#include "store/tests/virtual_loop.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <memory>
#include <vector>

namespace skylarkwing::store {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLongestDeadline{ 5 };
constexpr seconds kPromiseTime{ 5 };
constexpr milliseconds kPromiseMargin{ 500 };
constexpr const char* kReplica = "r";

/** What every member promised, as the members would know it. */
struct Promises
{
  std::map<std::string, core::TimePoint> until;
};

/** One daemon as far as it deals with permits. */
struct Node
{
  Node(VirtualLoop& aLoop, FakeStore& aStore, const std::string& aName, std::uint64_t aSeed)
    : loop(aLoop)
    , name(aName)
    , random(aSeed)
    , client(aLoop.timers, random, metrics, { Endpoint(aStore) })
    , permits(aLoop.io.get_executor(), aLoop.timers, random, metrics, client, aName, Hooks())
  {
  }

  VirtualLoop& loop;
  std::string name;
  core::RandomSource random;
  core::Metrics metrics;
  bool reachesStore = true;
  bool arePeersHeard = true;
  bool mayPromisesBeOutstanding = true;
  std::vector<Node*> peers;
  Promises promises;
  StoreClient client;
  WarmupPermits permits;

  bool Acquire() { return loop.Await(permits.Acquire(kReplica)); }
  bool IsHeld() const { return permits.IsHeld(kReplica); }

  /** A member's part: it promises one asker and keeps to that for as long as the promise lasts. */
  bool Promise(const std::string& aAsker)
  {
    if (permits.MayHold(kReplica) && aAsker != name) {
      return false;
    }
    for (const auto& [asker, until] : promises.until) {
      if (asker != aAsker && until > loop.timers.Now()) {
        return false;
      }
    }
    promises.until[aAsker] = loop.timers.Now() + kPromiseTime;
    return true;
  }

private:
  StoreEndpoint Endpoint(FakeStore& aStore)
  {
    StoreEndpoint endpoint = aStore.Endpoint();
    const auto exchange = endpoint.exchange;
    endpoint.exchange = [this, exchange](net::HttpRequest aRequest, core::Duration aTimeout) {
      return Exchange(exchange, std::move(aRequest), aTimeout);
    };
    return endpoint;
  }

  core::Task<net::HttpReply> Exchange(
    std::function<core::Task<net::HttpReply>(net::HttpRequest, core::Duration)> aExchange,
    net::HttpRequest aRequest,
    core::Duration aTimeout)
  {
    net::HttpReply reply;
    reply.error = net::HttpClientError::ConnectFailed;
    if (reachesStore) {
      reply = co_await aExchange(std::move(aRequest), aTimeout);
    }
    co_return reply;
  }

  core::Task<std::optional<core::TimePoint>> AskAll()
  {
    const core::TimePoint askedAt = loop.timers.Now();
    co_await core::Sleep(loop.timers, milliseconds{ 20 });
    bool isGranted = arePeersHeard && Promise(name);
    for (Node* peer : peers) {
      isGranted = isGranted && peer->arePeersHeard && peer->Promise(name);
    }
    co_await core::Sleep(loop.timers, milliseconds{ 20 });
    std::optional<core::TimePoint> until;
    if (isGranted) {
      until = askedAt + kPromiseTime - kPromiseMargin;
    }
    co_return until;
  }

  WarmupPermitHooks Hooks()
  {
    WarmupPermitHooks hooks;
    hooks.maxRequestDeadline = [] { return core::Duration(kLongestDeadline); };
    hooks.memberCount = [this] { return peers.size() + 1; };
    hooks.mayPromisesBeOutstanding = [this] { return mayPromisesBeOutstanding; };
    hooks.requestPromises = [this](const std::string&) { return AskAll(); };
    hooks.promisedElsewhereUntil = [this](const std::string&) {
      std::optional<core::TimePoint> last;
      for (const auto& [asker, until] : promises.until) {
        if (asker != name) {
          last = std::max(last.value_or(until), until);
        }
      }
      return last;
    };
    hooks.releasePromises = [this](const std::string&) {
      promises.until.erase(name);
      for (Node* peer : peers) {
        peer->promises.until.erase(name);
      }
    };
    return hooks;
  }
};

struct Fixture
{
  VirtualLoop loop;
  FakeStore fake{ loop.timers };
  Node ada{ loop, fake, "ada", 1 };
  Node ben{ loop, fake, "ben", 2 };
  const std::string permitKey = std::string(kPermitPrefix) + kReplica;

  Fixture()
  {
    ada.peers = { &ben };
    ben.peers = { &ada };
    // New processes wait before they use a permit.
    loop.Run(seconds{ 20 });
  }

  /** Asks until the permit is held, and returns how long that took. */
  core::Duration TimeToAcquire(Node& aNode)
  {
    const core::TimePoint start = loop.timers.Now();
    while (!aNode.Acquire() && loop.timers.Now() - start < seconds{ 120 }) {
      loop.Run(milliseconds{ 300 });
    }
    return loop.timers.Now() - start;
  }
};

/** Three daemons, a store, and everything that can go wrong between them. */
struct FaultySchedule
{
  VirtualLoop loop;
  FakeStore fake{ loop.timers };
  std::vector<std::unique_ptr<Node>> nodes;
  const Node* lastHolder = nullptr;
  core::TimePoint lastHeld;

  FaultySchedule()
  {
    for (const char* name : { "a", "b", "c" }) {
      nodes.push_back(std::make_unique<Node>(loop, fake, name, nodes.size()));
    }
    for (const auto& node : nodes) {
      for (const auto& peer : nodes) {
        if (peer != node) {
          node->peers.push_back(peer.get());
        }
      }
    }
    loop.Run(seconds{ 20 });
  }

  void Step(Node& aNode, int aKind, int aAmount)
  {
    switch (aKind) {
      case 0:
        aNode.reachesStore = !aNode.reachesStore;
        return;
      case 1:
        fake.isDown = !fake.isDown;
        return;
      case 2:
        fake.answersToLose = aAmount % 3;
        return;
      case 3:
        fake.writesToLose = aAmount % 3;
        return;
      case 4:
        fake.answerDelay = milliseconds{ aAmount % 1500 };
        return;
      case 5:
        loop.Pause(milliseconds{ aAmount * 10 });
        return;
      case 6:
        aNode.arePeersHeard = !aNode.arePeersHeard;
        return;
      case 7:
        lastHolder = aNode.IsHeld() ? nullptr : lastHolder;
        aNode.permits.Release(kReplica);
        return;
      default:
        loop.Begin(aNode.permits.Acquire(kReplica));
    }
  }

  /** Whoever holds the permit at this moment may send. */
  bool IsRespected()
  {
    const Node* holder = nullptr;
    for (const auto& node : nodes) {
      if (!node->IsHeld()) {
        continue;
      }
      if (holder != nullptr) {
        return false;
      }
      holder = node.get();
    }
    if (holder == nullptr) {
      return true;
    }
    const bool isSuccessor = lastHolder != nullptr && holder != lastHolder;
    const bool hasWaited = loop.timers.Now() - lastHeld >= kLongestDeadline;
    lastHolder = holder;
    lastHeld = loop.timers.Now();
    return !isSuccessor || hasWaited;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_permits, Fixture)

BOOST_AUTO_TEST_CASE(one_daemon_holds_a_permit_until_it_gives_it_back)
{
  BOOST_TEST(ada.Acquire());
  BOOST_TEST(fake.calls["/v3/kv/txn"] == 1);
  BOOST_TEST(!ben.Acquire());
  BOOST_TEST(!ben.Acquire());
  BOOST_TEST(fake.calls["/v3/kv/txn"] == 2);
  loop.Run(seconds{ 300 });
  BOOST_TEST(ada.IsHeld());
  BOOST_TEST(fake.calls["/v3/lease/keepalive"] <= 61);
  ada.permits.Release(kReplica);
  BOOST_TEST(!ada.IsHeld());
  loop.Run(seconds{ 1 });
  BOOST_TEST((TimeToAcquire(ben) < seconds{ 2 }));
  ben.permits.Release(kReplica);
  loop.Run(seconds{ 30 });
  const int calls = fake.Calls();
  loop.Run(seconds{ 600 });
  BOOST_TEST(fake.Calls() == calls);
}

BOOST_AUTO_TEST_CASE(of_two_that_ask_at_the_same_time_one_gets_it)
{
  fake.delay = milliseconds{ 50 };
  const auto first = loop.Begin(ada.permits.Acquire(kReplica));
  const auto second = loop.Begin(ben.permits.Acquire(kReplica));
  loop.Run(seconds{ 5 });
  BOOST_TEST((first->value() != second->value()));
  BOOST_TEST((ada.IsHeld() != ben.IsHeld()));
}

BOOST_AUTO_TEST_CASE(a_paused_holder_finds_its_permit_lapsed_before_it_sends)
{
  BOOST_REQUIRE(ada.Acquire());
  loop.Run(seconds{ 4 });
  loop.Pause(seconds{ 14 });
  BOOST_TEST(!ada.IsHeld());
  loop.Run(seconds{ 1 });
  BOOST_TEST(!ada.IsHeld());
}

BOOST_AUTO_TEST_CASE(a_lease_counts_from_before_its_renewal_was_sent)
{
  BOOST_REQUIRE(ada.Acquire());
  fake.answerDelay = milliseconds{ 1800 };
  loop.Run(seconds{ 8 });
  // The only renewal was sent after 5 s and answered 1.8 s later.
  BOOST_REQUIRE(fake.calls["/v3/lease/keepalive"] == 1);
  fake.isDown = true;
  loop.Run(milliseconds{ 10'900 });
  BOOST_TEST(ada.IsHeld());
  loop.Run(milliseconds{ 600 });
  BOOST_TEST(!ada.IsHeld());
  BOOST_TEST((fake.Find(permitKey) != nullptr));
}

BOOST_AUTO_TEST_CASE(a_successor_waits_out_the_work_of_a_holder_that_lapsed)
{
  BOOST_REQUIRE(ada.Acquire());
  ada.reachesStore = false;
  core::TimePoint lastHeld;
  const core::TimePoint start = loop.timers.Now();
  while (!ben.Acquire() && loop.timers.Now() - start < seconds{ 60 }) {
    lastHeld = ada.IsHeld() ? loop.timers.Now() : lastHeld;
    loop.Run(milliseconds{ 100 });
  }
  BOOST_TEST(ben.IsHeld());
  BOOST_TEST((loop.timers.Now() - lastHeld >= kLongestDeadline));
  BOOST_TEST((loop.timers.Now() - start < seconds{ 25 }));
}

BOOST_AUTO_TEST_CASE(a_wait_that_is_given_up_is_not_skipped_by_the_next)
{
  BOOST_REQUIRE(ada.Acquire());
  ada.reachesStore = false;
  loop.Run(seconds{ 20 });
  BOOST_TEST(!ben.Acquire());
  BOOST_TEST(ben.permits.MayHold(kReplica));
  ben.permits.Release(kReplica);
  loop.Run(seconds{ 2 });
  BOOST_TEST((TimeToAcquire(ben) >= kLongestDeadline));
}

BOOST_AUTO_TEST_CASE(a_claim_whose_answer_is_lost_is_recognised)
{
  fake.answersToLose = 2;
  TimeToAcquire(ada);
  BOOST_TEST(ada.IsHeld());
  ada.permits.Release(kReplica);
  loop.Run(seconds{ 2 });
  BOOST_TEST(fake.Find(permitKey) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_claim_that_stays_unknown_leaves_no_permit_behind)
{
  // The lease is there, so that only answers to the claim are lost.
  BOOST_REQUIRE(loop.Await(ada.permits.Acquire("other")));
  ben.arePeersHeard = false;
  fake.answersToLose = 3;
  BOOST_TEST(!ada.Acquire());
  BOOST_TEST((fake.Find(permitKey) != nullptr));
  loop.Run(seconds{ 3 });
  BOOST_TEST(fake.Find(permitKey) == nullptr);
  BOOST_TEST(ada.permits.IsHeld("other"));
}

BOOST_AUTO_TEST_CASE(a_lapsed_permit_is_not_given_back_as_if_its_work_had_ended)
{
  fake.isDown = true;
  TimeToAcquire(ada);
  BOOST_REQUIRE(ada.IsHeld());
  loop.Pause(seconds{ 6 });
  ada.permits.Release(kReplica);
  fake.isDown = false;
  ada.arePeersHeard = false;
  loop.Run(seconds{ 1 });
  BOOST_TEST((TimeToAcquire(ben) >= kLongestDeadline - seconds{ 3 }));
}

BOOST_AUTO_TEST_CASE(a_new_process_waits_out_what_the_one_before_promised)
{
  Node fresh(loop, fake, "fresh", 3);
  BOOST_TEST((TimeToAcquire(fresh) >= seconds{ 5 } + kLongestDeadline));
  BOOST_TEST(fresh.IsHeld());
  fresh.permits.Release(kReplica);
  loop.Run(seconds{ 1 });
  Node sure(loop, fake, "sure", 4);
  sure.mayPromisesBeOutstanding = false;
  BOOST_TEST(sure.Acquire());
}

BOOST_AUTO_TEST_CASE(without_the_store_all_members_must_promise)
{
  fake.isDown = true;
  ben.arePeersHeard = false;
  BOOST_TEST((TimeToAcquire(ada) > seconds{ 100 }));
  ben.arePeersHeard = true;
  BOOST_TEST((TimeToAcquire(ada) >= kLongestDeadline));
  BOOST_TEST(!ben.Acquire());
  loop.Run(seconds{ 300 });
  BOOST_TEST(ada.IsHeld());

  // The store's return does not give the permit to another.
  fake.isDown = false;
  loop.Run(seconds{ 12 });
  BOOST_TEST(!ben.Acquire());
  BOOST_TEST(fake.Find(permitKey) == nullptr);
  ada.permits.Release(kReplica);
  loop.Run(seconds{ 2 });
  TimeToAcquire(ben);
  BOOST_TEST(ben.IsHeld());
}

BOOST_AUTO_TEST_CASE(a_promise_made_during_a_claim_outweighs_it)
{
  fake.answerDelay = milliseconds{ 500 };
  const auto claim = loop.Begin(ben.permits.Acquire(kReplica));
  loop.Run(milliseconds{ 600 });
  ben.promises.until["ada"] = loop.timers.Now() + seconds{ 5 };
  loop.Run(seconds{ 3 });
  BOOST_TEST(!claim->value());
  BOOST_TEST(!ben.IsHeld());
  BOOST_TEST(fake.Find(permitKey) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(warmup_permits_schedules)

BOOST_AUTO_TEST_CASE(no_schedule_of_faults_gives_a_permit_to_two)
{
  int timesHeld = 0;
  const bool isHeld = rc::check("one holder, and time for its work before the next", [&] {
    FaultySchedule schedule;
    for (int n = *rc::gen::inRange(200, 600); n > 0; --n) {
      Node& node = *schedule.nodes[*rc::gen::inRange<std::size_t>(0, schedule.nodes.size())];
      const int amount = *rc::gen::inRange(0, 2000);
      const int kind = *rc::gen::inRange(0, 24);
      schedule.Step(node, kind, amount);
      RC_ASSERT(schedule.IsRespected());
      timesHeld += node.IsHeld() ? 1 : 0;
      schedule.loop.Run(milliseconds{ *rc::gen::inRange(0, 2000) });
      RC_ASSERT(schedule.IsRespected());
    }
  });
  BOOST_TEST(isHeld);
  // The schedules are worth something only when permits are held in many of their steps.
  BOOST_TEST(timesHeld > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store
