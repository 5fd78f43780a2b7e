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

constexpr seconds kMaxRequestDeadline{ 5 };
constexpr seconds kPromiseTime{ 5 };
constexpr milliseconds kPromiseMargin{ 500 };
constexpr const char* kReplica = "r";

/** End of the promise to each daemon, by its name. */
struct Promises
{
  std::map<std::string, core::TimePoint> until;
};

/** The parts of a daemon that use permits. */
struct TestDaemon
{
  TestDaemon(VirtualLoop& aLoop, FakeStore& aStore, const std::string& aName, std::uint64_t aSeed)
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
  bool isReachable = true;
  bool mayPromisesBeOutstanding = true;
  std::vector<TestDaemon*> peers;
  Promises promises;
  StoreClient client;
  WarmupPermits permits;

  bool Acquire() { return loop.Await(permits.Acquire(kReplica)); }
  bool IsHeld() const { return permits.IsHeld(kReplica); }

  /** Promises the replica to one daemon, and to no other until that promise has ended. */
  bool Promise(const std::string& aRequester)
  {
    if (permits.MayHold(kReplica) && aRequester != name) {
      return false;
    }
    for (const auto& [requester, until] : promises.until) {
      if (requester != aRequester && until > loop.timers.Now()) {
        return false;
      }
    }
    promises.until[aRequester] = loop.timers.Now() + kPromiseTime;
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

  core::Task<net::HttpResult> Exchange(
    std::function<core::Task<net::HttpResult>(net::HttpRequest, core::Duration)> aExchange,
    net::HttpRequest aRequest,
    core::Duration aTimeout)
  {
    net::HttpResult reply;
    reply.error = net::HttpClientError::ConnectFailed;
    if (reachesStore) {
      reply = co_await aExchange(std::move(aRequest), aTimeout);
    }
    co_return reply;
  }

  core::Task<std::optional<core::TimePoint>> RequestPromises()
  {
    const core::TimePoint requestedAt = loop.timers.Now();
    co_await core::Sleep(loop.timers, milliseconds{ 20 });
    bool isGranted = isReachable && Promise(name);
    for (TestDaemon* peer : peers) {
      isGranted = isGranted && peer->isReachable && peer->Promise(name);
    }
    co_await core::Sleep(loop.timers, milliseconds{ 20 });
    std::optional<core::TimePoint> until;
    if (isGranted) {
      until = requestedAt + kPromiseTime - kPromiseMargin;
    }
    co_return until;
  }

  WarmupPermitHooks Hooks()
  {
    WarmupPermitHooks hooks;
    hooks.maxRequestDeadline = [] { return core::Duration(kMaxRequestDeadline); };
    hooks.memberCount = [this] { return peers.size() + 1; };
    hooks.mayPromisesBeOutstanding = [this] { return mayPromisesBeOutstanding; };
    hooks.requestPromises = [this](const std::string&) { return RequestPromises(); };
    hooks.promisedElsewhereUntil = [this](const std::string&) {
      std::optional<core::TimePoint> last;
      for (const auto& [requester, until] : promises.until) {
        if (requester != name) {
          last = std::max(last.value_or(until), until);
        }
      }
      return last;
    };
    hooks.releasePromises = [this](const std::string&) {
      promises.until.erase(name);
      for (TestDaemon* peer : peers) {
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
  TestDaemon ada{ loop, fake, "ada", 1 };
  TestDaemon ben{ loop, fake, "ben", 2 };
  const std::string permitKey = std::string(kPermitPrefix) + kReplica;

  Fixture()
  {
    ada.peers = { &ben };
    ben.peers = { &ada };
    // A new process waits for promises of its predecessor before it uses a permit.
    loop.Run(seconds{ 20 });
  }

  /** Retries until the permit is held, and returns how long that took. */
  core::Duration TimeToAcquire(TestDaemon& aDaemon)
  {
    const core::TimePoint start = loop.timers.Now();
    while (!aDaemon.Acquire() && loop.timers.Now() - start < seconds{ 120 }) {
      loop.Run(milliseconds{ 300 });
    }
    return loop.timers.Now() - start;
  }
};

/** Three daemons and a store under random faults. */
struct RandomFaults
{
  VirtualLoop loop;
  FakeStore fake{ loop.timers };
  std::vector<std::unique_ptr<TestDaemon>> daemons;
  const TestDaemon* lastHolder = nullptr;
  core::TimePoint lastHeld;

  RandomFaults()
  {
    for (const char* name : { "a", "b", "c" }) {
      daemons.push_back(std::make_unique<TestDaemon>(loop, fake, name, daemons.size()));
    }
    for (const auto& daemon : daemons) {
      for (const auto& peer : daemons) {
        if (peer != daemon) {
          daemon->peers.push_back(peer.get());
        }
      }
    }
    loop.Run(seconds{ 20 });
  }

  void Step(TestDaemon& aDaemon, int aKind, int aAmount)
  {
    switch (aKind) {
      case 0:
        aDaemon.reachesStore = !aDaemon.reachesStore;
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
        aDaemon.isReachable = !aDaemon.isReachable;
        return;
      case 7:
        lastHolder = aDaemon.IsHeld() ? nullptr : lastHolder;
        aDaemon.permits.Release(kReplica);
        return;
      default:
        loop.Begin(aDaemon.permits.Acquire(kReplica));
    }
  }

  /** Checks that at most one daemon may send, and only after the previous holder's work ended. */
  bool IsExclusive()
  {
    const TestDaemon* holder = nullptr;
    for (const auto& daemon : daemons) {
      if (!daemon->IsHeld()) {
        continue;
      }
      if (holder != nullptr) {
        return false;
      }
      holder = daemon.get();
    }
    if (holder == nullptr) {
      return true;
    }
    const bool isSuccessor = lastHolder != nullptr && holder != lastHolder;
    const bool hasWaited = loop.timers.Now() - lastHeld >= kMaxRequestDeadline;
    lastHolder = holder;
    lastHeld = loop.timers.Now();
    return !isSuccessor || hasWaited;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_permits, Fixture)

BOOST_AUTO_TEST_CASE(one_daemon_holds_a_permit_until_it_returns_it)
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

BOOST_AUTO_TEST_CASE(of_two_concurrent_claims_one_is_granted)
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

BOOST_AUTO_TEST_CASE(a_successor_waits_for_the_work_of_a_lapsed_holder)
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
  BOOST_TEST((loop.timers.Now() - lastHeld >= kMaxRequestDeadline));
  BOOST_TEST((loop.timers.Now() - start < seconds{ 25 }));
}

BOOST_AUTO_TEST_CASE(a_wait_that_is_given_up_is_not_skipped_by_the_next_holder)
{
  BOOST_REQUIRE(ada.Acquire());
  ada.reachesStore = false;
  loop.Run(seconds{ 20 });
  BOOST_TEST(!ben.Acquire());
  BOOST_TEST(ben.permits.MayHold(kReplica));
  ben.permits.Release(kReplica);
  loop.Run(seconds{ 2 });
  BOOST_TEST((TimeToAcquire(ben) >= kMaxRequestDeadline));
}

BOOST_AUTO_TEST_CASE(a_claim_with_a_lost_answer_is_recognised)
{
  fake.answersToLose = 2;
  TimeToAcquire(ada);
  BOOST_TEST(ada.IsHeld());
  ada.permits.Release(kReplica);
  loop.Run(seconds{ 2 });
  BOOST_TEST(fake.Find(permitKey) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_claim_leaves_no_permit_behind)
{
  // The lease exists already, so that only answers to the claim are lost.
  BOOST_REQUIRE(loop.Await(ada.permits.Acquire("other")));
  ben.isReachable = false;
  fake.answersToLose = 3;
  BOOST_TEST(!ada.Acquire());
  BOOST_TEST((fake.Find(permitKey) != nullptr));
  loop.Run(seconds{ 3 });
  BOOST_TEST(fake.Find(permitKey) == nullptr);
  BOOST_TEST(ada.permits.IsHeld("other"));
}

BOOST_AUTO_TEST_CASE(a_lapsed_permit_is_not_returned_as_if_its_work_had_ended)
{
  fake.isDown = true;
  TimeToAcquire(ada);
  BOOST_REQUIRE(ada.IsHeld());
  loop.Pause(seconds{ 6 });
  ada.permits.Release(kReplica);
  fake.isDown = false;
  ada.isReachable = false;
  loop.Run(seconds{ 1 });
  BOOST_TEST((TimeToAcquire(ben) >= kMaxRequestDeadline - seconds{ 3 }));
}

BOOST_AUTO_TEST_CASE(a_new_process_waits_for_promises_of_its_predecessor)
{
  TestDaemon successor(loop, fake, "fresh", 3);
  BOOST_TEST((TimeToAcquire(successor) >= seconds{ 5 } + kMaxRequestDeadline));
  BOOST_TEST(successor.IsHeld());
  successor.permits.Release(kReplica);
  loop.Run(seconds{ 1 });
  TestDaemon unconstrained(loop, fake, "sure", 4);
  unconstrained.mayPromisesBeOutstanding = false;
  BOOST_TEST(unconstrained.Acquire());
}

BOOST_AUTO_TEST_CASE(without_the_store_all_members_must_promise)
{
  fake.isDown = true;
  ben.isReachable = false;
  BOOST_TEST((TimeToAcquire(ada) > seconds{ 100 }));
  ben.isReachable = true;
  BOOST_TEST((TimeToAcquire(ada) >= kMaxRequestDeadline));
  BOOST_TEST(!ben.Acquire());
  loop.Run(seconds{ 300 });
  BOOST_TEST(ada.IsHeld());

  // The end of the outage doesn't give the permit to another daemon.
  fake.isDown = false;
  loop.Run(seconds{ 12 });
  BOOST_TEST(!ben.Acquire());
  BOOST_TEST(fake.Find(permitKey) == nullptr);
  ada.permits.Release(kReplica);
  loop.Run(seconds{ 2 });
  TimeToAcquire(ben);
  BOOST_TEST(ben.IsHeld());
}

BOOST_AUTO_TEST_CASE(a_promise_made_during_a_claim_takes_precedence)
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

BOOST_AUTO_TEST_CASE(random_faults_never_give_a_permit_to_two_daemons)
{
  int timesHeld = 0;
  const bool isHeld = rc::check("one holder, and time for its work before the next", [&] {
    RandomFaults faults;
    for (int n = *rc::gen::inRange(200, 600); n > 0; --n) {
      TestDaemon& daemon =
        *faults.daemons[*rc::gen::inRange<std::size_t>(0, faults.daemons.size())];
      const int amount = *rc::gen::inRange(0, 2000);
      const int kind = *rc::gen::inRange(0, 24);
      faults.Step(daemon, kind, amount);
      RC_ASSERT(faults.IsExclusive());
      timesHeld += daemon.IsHeld() ? 1 : 0;
      faults.loop.Run(milliseconds{ *rc::gen::inRange(0, 2000) });
      RC_ASSERT(faults.IsExclusive());
    }
  });
  BOOST_TEST(isHeld);
  // The schedules test something only if permits are held in many of their steps.
  BOOST_TEST(timesHeld > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store
