#include "core/asio_timer_service.h"
#include "net/nng_peer_bus.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

#include <unistd.h>

namespace skylarkwing::net {

namespace {

using namespace std::chrono_literals;

/** Runs an event loop until a condition is true or about 10 s have passed. */
template<typename Condition>
bool
RunUntil(boost::asio::io_context& aLoop, Condition aCondition)
{
  constexpr int kTries = 2000;
  const auto work = boost::asio::make_work_guard(aLoop);
  for (int n = 0; n < kTries; ++n) {
    if (aCondition()) {
      return true;
    }
    aLoop.restart();
    aLoop.run_for(5ms);
  }
  return false;
}

/**
 * @return a different loopback address at each call. The port is outside the ephemeral range, which
 *         the connections of concurrent tests use.
 */
std::string
NextAddress()
{
  constexpr unsigned kFirstPort = 10000;
  constexpr unsigned kPorts = 20000;
  constexpr unsigned kPortsPerProcess = 251;
  static unsigned next = static_cast<unsigned>(getpid()) * kPortsPerProcess;
  return "127.0.0.1:" + std::to_string(kFirstPort + next++ % kPorts);
}

struct Daemon
{
  Daemon(boost::asio::io_context& aLoop, const std::string& aCluster, const std::string& aVm)
    : timers(aLoop)
    , bus(aLoop, timers, metrics, { aCluster, aVm, aVm + "-1" })
  {
    // Another process may already be listening on an address.
    constexpr int kTries = 100;
    bool isListening = false;
    for (int n = 0; n < kTries && !isListening; ++n) {
      address = NextAddress();
      isListening = bus.Listen(address);
    }
    BOOST_REQUIRE(isListening);
    bus.OnMessage("number", [this](const PeerMessageOrigin& aOrigin, const nlohmann::json& aBody) {
      lastOrigin = aOrigin;
      received.push_back(aBody.at("n").get<int>());
    });
  }

  core::AsioTimerService timers;
  core::Metrics metrics;
  std::string address;
  NngPeerBus bus;
  PeerMessageOrigin lastOrigin;
  std::vector<int> received;
};

} // namespace

BOOST_AUTO_TEST_SUITE(nng_peer_bus)

BOOST_AUTO_TEST_CASE(messages_arrive_in_order_with_their_sender)
{
  boost::asio::io_context loop;
  Daemon a(loop, "c", "vm-a");
  Daemon b(loop, "c", "vm-b");
  a.bus.Connect("vm-b", b.address);
  BOOST_TEST(!a.bus.Send("vm-c", "number", { { "n", 0 } }));
  BOOST_REQUIRE(RunUntil(loop, [&] { return a.bus.Send("vm-b", "number", { { "n", 1 } }); }));
  BOOST_TEST(a.bus.Send("vm-b", "number", { { "n", 2 } }));
  BOOST_REQUIRE(RunUntil(loop, [&] { return b.received.size() == 2; }));
  BOOST_TEST(b.received[0] == 1);
  BOOST_TEST(b.received[1] == 2);
  BOOST_TEST(b.lastOrigin.vm == "vm-a");
  BOOST_TEST(b.lastOrigin.incarnation == "vm-a-1");
}

BOOST_AUTO_TEST_CASE(messages_of_other_clusters_and_invalid_bodies_are_refused)
{
  boost::asio::io_context loop;
  Daemon a(loop, "c", "vm-a");
  Daemon b(loop, "c", "vm-b");
  Daemon stranger(loop, "other", "vm-s");
  stranger.bus.Connect("vm-b", b.address);
  a.bus.Connect("vm-b", b.address);
  BOOST_REQUIRE(RunUntil(loop, [&] {
    return stranger.bus.Send("vm-b", "number", { { "n", 9 } });
  }));
  BOOST_REQUIRE(RunUntil(loop, [&] { return a.bus.Send("vm-b", "number", { { "m", 9 } }); }));
  BOOST_TEST(a.bus.Send("vm-b", "number", { { "n", 5 } }));
  BOOST_REQUIRE(RunUntil(loop, [&] { return !b.received.empty(); }));
  BOOST_TEST(b.received.front() == 5);
  const auto refused = [&] {
    return b.metrics.Render().find("skylarkwing_net_peer_refused_total 2") != std::string::npos;
  };
  BOOST_TEST(RunUntil(loop, refused));
}

BOOST_AUTO_TEST_CASE(messages_queued_for_a_lost_connection_do_not_reach_a_later_process)
{
  boost::asio::io_context loop;
  Daemon a(loop, "c", "vm-a");
  auto b = std::make_unique<Daemon>(loop, "c", "vm-b");
  const std::string address = b->address;
  a.bus.Connect("vm-b", address);
  BOOST_REQUIRE(RunUntil(loop, [&] { return a.bus.Send("vm-b", "number", { { "n", 1 } }); }));
  BOOST_REQUIRE(RunUntil(loop, [&] { return b->received.size() == 1; }));
  b->bus.Close();
  BOOST_REQUIRE(RunUntil(loop, [&] { return !a.bus.Send("vm-b", "number", { { "n", 2 } }); }));
  Daemon later(loop, "c", "vm-c");
  NngPeerBus restarted(loop, later.timers, later.metrics, { "c", "vm-b", "vm-b-2" });
  std::vector<int> received;
  restarted.OnMessage("number", [&](const PeerMessageOrigin&, const nlohmann::json& aBody) {
    received.push_back(aBody.at("n").get<int>());
  });
  BOOST_REQUIRE(restarted.Listen(address));
  BOOST_REQUIRE(RunUntil(loop, [&] { return a.bus.Send("vm-b", "number", { { "n", 3 } }); }));
  BOOST_REQUIRE(RunUntil(loop, [&] { return !received.empty(); }));
  BOOST_TEST(received.front() == 3);
}

// Must be the last test: after a socket that hangs in nng_close(), nng no longer reports lost
// connections.
BOOST_AUTO_TEST_CASE(a_bus_can_be_closed_while_messages_arrive)
{
  constexpr int kRounds = 60;
  boost::asio::io_context loop;
  for (int round = 0; round < kRounds; ++round) {
    Daemon a(loop, "c", "vm-a");
    Daemon b(loop, "c", "vm-b");
    a.bus.Connect("vm-b", b.address);
    BOOST_REQUIRE(RunUntil(loop, [&] { return a.bus.Send("vm-b", "number", { { "n", 1 } }); }));
    a.bus.Send("vm-b", "number", { { "n", 2 } });
    b.bus.Close();
    BOOST_TEST(!b.bus.Send("vm-a", "number", { { "n", 3 } }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
