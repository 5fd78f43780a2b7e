#include "net/client_queue.h"
#include "net/connection_limits.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/memory_budget.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/** Ends a test that hangs; no test's result depends on how long it takes. */
constexpr auto kTestTimeout = 20s;

struct Fixture
{
  asio::io_context loop;
  HttpServerLimits limits;
  std::shared_ptr<MemoryBudget> budget;
  std::unique_ptr<HttpServer> server;
  std::vector<ClientPhase> closed;
  std::size_t answerBytes = 3;
  int handled = 0;

  Fixture()
  {
    limits.closeStalled = true;
    limits.requestTimeout = kTestTimeout;
    limits.idleTimeout = kTestTimeout;
  }

  void Listen()
  {
    server =
      std::make_unique<HttpServer>(loop, limits, [this](HttpRequest) -> core::Task<HttpResponse> {
        ++handled;
        HttpResponse response;
        response.body.assign(answerBytes, 'a');
        co_return response;
      });
    server->SetClosureHandler([this](ClientPhase aPhase) { closed.push_back(aPhase); });
    server->SetBudget(budget);
    BOOST_REQUIRE(server->Listen("127.0.0.1:0"));
  }

  std::shared_ptr<asio::ip::tcp::socket> Connect(const std::string& aBytes)
  {
    auto socket = std::make_shared<asio::ip::tcp::socket>(loop);
    const std::string address = server->Address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    socket->connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(*socket, asio::buffer(aBytes));
    return socket;
  }

  /** Runs the loop for longer than a connection may be without progress. */
  void RunLong() { loop.run_for(700ms); }

  /** @return the first line of an answer, or an empty one if the connection ended before. */
  std::string ReadStatusLine(asio::ip::tcp::socket& aSocket)
  {
    const std::string end = "\r\n";
    std::string bytes;
    bool isDone = false;
    asio::async_read_until(aSocket,
                           asio::dynamic_buffer(bytes),
                           end,
                           [&](const boost::system::error_code&, std::size_t) { isDone = true; });
    while (!isDone) {
      loop.run_one();
    }
    return bytes.substr(0, bytes.find(end));
  }

  /** @return the status of the answer, or 0 without one. */
  unsigned Ask(const std::string& aBody = "")
  {
    HttpResult result;
    bool isDone = false;
    const auto ask = [&]() -> core::Task<void> {
      TcpHttpConnection connection(loop.get_executor());
      std::string address = server->Address();
      co_await connection.Connect(std::move(address), kTestTimeout);
      HttpRequest request;
      request.method = "POST";
      request.body = aBody;
      result = co_await connection.Exchange(std::move(request), kTestTimeout);
      isDone = true;
    };
    core::Start(loop.get_executor(), ask());
    while (!isDone) {
      loop.run_one();
    }
    return result.error == HttpClientError::None ? result.response.status : 0;
  }
};

/** The server's side of a connection whose request isn't read at first. */
struct SilentServer
{
  explicit SilentServer(asio::ip::tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  asio::ip::tcp::socket socket;
  std::string received;

  /** Reads without the event loop until nothing more arrives. */
  void ReadWhatArrives()
  {
    constexpr int kQuietMs = 100;
    pollfd descriptor{ socket.native_handle(), POLLIN, 0 };
    while (poll(&descriptor, 1, kQuietMs) > 0) {
      std::string bytes(socket.available(), '\0');
      bytes.resize(socket.read_some(asio::buffer(bytes)));
      received += bytes;
    }
  }

  /** Reads the rest of the request, and answers it. */
  core::Task<void> Answer(std::size_t aBodyBytes)
  {
    const std::string end = "\r\n\r\n";
    co_await asio::async_read_until(socket, asio::dynamic_buffer(received), end, kAsTuple);
    const std::size_t size = received.find(end) + end.size() + aBodyBytes;
    const std::size_t rest = size - std::min(size, received.size());
    co_await asio::async_read(
      socket, asio::dynamic_buffer(received), asio::transfer_exactly(rest), kAsTuple);
    const std::string answer = "HTTP/1.1 204 No Content\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(answer), kAsTuple);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(client_limits)

// Closing an idle connection while a stalled transfer could be closed would hurt ordinary callers.
BOOST_AUTO_TEST_CASE(the_transfer_without_progress_for_longest_is_given_up_first)
{
  ClientQueue queue;
  const core::TimePoint start{};
  const auto idle = queue.Add(1, start);
  const auto slow = queue.Add(2, start);
  const auto fast = queue.Add(3, start);
  queue.SetPhase(idle, ClientPhase::Idle, start);
  queue.SetPhase(slow, ClientPhase::Transfer, start);
  queue.SetPhase(fast, ClientPhase::Transfer, start);
  queue.Add(4, start);
  BOOST_TEST(!queue.Next(start + 100ms).has_value());
  queue.AddBytes(slow, 1, start + 900ms);
  queue.AddBytes(fast, 100000, start + 900ms);
  BOOST_TEST(queue.Next(start + 1s).value() == 2U);
  queue.SetPhase(slow, ClientPhase::Handling, start + 1s);
  BOOST_TEST(queue.Next(start + 1s).value() == 4U);
  BOOST_TEST(!queue.NextWithMemory(start + 1s + 100ms).has_value());
  queue.Remove(fast);
  BOOST_TEST(queue.Count(ClientPhase::Transfer) == 0U);
}

// Clients that send what is no request took all connections for as long as their answers lingered.
BOOST_AUTO_TEST_CASE(a_rejected_client_makes_room_at_once)
{
  ClientQueue queue;
  const core::TimePoint start{};
  const auto rejected = queue.Add(1, start);
  const auto stalled = queue.Add(2, start);
  queue.SetPhase(stalled, ClientPhase::Transfer, start);
  queue.SetPhase(rejected, ClientPhase::Rejected, start + 2s);
  BOOST_TEST(queue.Next(start + 2s).value() == 1U);
  queue.Remove(rejected);
  BOOST_TEST(queue.Next(start + 2s).value() == 2U);
}

// A client that only sends must not hold memory for as long as its request runs.
BOOST_AUTO_TEST_CASE(a_client_that_sends_on_during_its_request_is_given_up_last)
{
  ClientQueue queue;
  const core::TimePoint start{};
  const auto pipelining = queue.Add(1, start);
  const auto idle = queue.Add(2, start);
  queue.SetPhase(pipelining, ClientPhase::Pipelining, start);
  queue.SetPhase(idle, ClientPhase::Idle, start + 1s);
  BOOST_TEST(queue.Next(start + 2s).value() == 2U);
  BOOST_TEST(queue.NextWithMemory(start + 2s).value() == 1U);
  queue.Remove(idle);
  BOOST_TEST(queue.Next(start + 2s).value() == 1U);
  queue.SetPhase(pipelining, ClientPhase::Handling, start + 2s);
  BOOST_TEST(!queue.Next(start + 3s).has_value());
}

// A reservation that isn't returned would refuse clients for good.
BOOST_AUTO_TEST_CASE(reservations_return_what_they_took)
{
  const auto budget = std::make_shared<MemoryBudget>(1000);
  {
    MemoryReservation request(budget, MemoryUse::Request);
    BOOST_TEST(request.Resize(700));
    BOOST_TEST(!request.Resize(800));
    MemoryReservation answer(budget, MemoryUse::Answer);
    BOOST_TEST(answer.Resize(300));
    BOOST_TEST(!answer.Resize(301));
    // A crowd that doesn't read leaves a quarter for requests.
    request.ForceResize(100);
    BOOST_TEST(!answer.Resize(800));
    request.ForceResize(700);
    answer.ForceResize(500);
    BOOST_TEST(budget->UsedBytes() == 1200U);
  }
  BOOST_TEST(budget->UsedBytes() == 0U);
}

// The kernel counts the bytes of a reset connection for good, which would hold memory for nobody.
BOOST_AUTO_TEST_CASE(a_client_that_resets_its_connection_returns_the_memory_of_its_answer)
{
  Fixture fixture;
  fixture.answerBytes = std::size_t{ 100 } * 1000;
  fixture.limits.sendBufferBytes = std::size_t{ 256 } * 1024;
  fixture.budget = std::make_shared<MemoryBudget>(kMegabyte);
  fixture.Listen();
  auto socket = std::make_shared<asio::ip::tcp::socket>(fixture.loop);
  socket->open(asio::ip::tcp::v4());
  socket->set_option(asio::socket_base::receive_buffer_size(4096));
  const std::string address = fixture.server->Address();
  const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  socket->connect({ asio::ip::make_address("127.0.0.1"), port });
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(*socket, asio::buffer(request));
  fixture.RunLong();
  BOOST_TEST(fixture.budget->UsedBytes() > fixture.answerBytes / 2);
  socket->set_option(asio::socket_base::linger(true, 0));
  socket->close();
  fixture.RunLong();
  BOOST_TEST(fixture.budget->UsedBytes() == 0U);
  BOOST_TEST(fixture.server->OpenConnections() == 0U);
}

// Waiting answers take connections of replicas, and memory that isn't counted.
BOOST_AUTO_TEST_CASE(few_answers_may_wait_for_memory)
{
  MemoryBudget budget(8 * kMegabyte);
  const auto replica = std::make_shared<MemoryWaitLimit>();
  replica->limit = 2;
  {
    const MemoryWait first(budget, replica);
    const MemoryWait second(budget, replica);
    const MemoryWait third(budget, replica);
    BOOST_TEST(first.IsAllowed());
    BOOST_TEST(second.IsAllowed());
    BOOST_TEST(!third.IsAllowed());
    const MemoryWait other(budget, nullptr);
    const MemoryWait another(budget, nullptr);
    const MemoryWait beyond(budget, nullptr);
    BOOST_TEST(another.IsAllowed());
    BOOST_TEST(!beyond.IsAllowed());
    BOOST_TEST(budget.Waiting() == 4U);
  }
  BOOST_TEST(budget.Waiting() == 0U);
  BOOST_TEST(replica->waiting == 0U);
}

// The connection that is closed to make room may be the one that asks.
BOOST_AUTO_TEST_CASE(a_reservation_that_gives_itself_up_counts_once)
{
  const auto budget = std::make_shared<MemoryBudget>(1000);
  MemoryReservation request(budget, MemoryUse::Request);
  budget->AddReclaimer([&](MemoryUse) {
    const bool hasBytes = request.Bytes() > 0;
    request.ForceResize(0);
    return hasBytes;
  });
  BOOST_TEST(request.Resize(700));
  BOOST_TEST(!request.Resize(760));
  BOOST_TEST(budget->UsedBytes() == 0U);
  BOOST_TEST(request.Resize(700));
  BOOST_TEST(budget->UsedBytes() == 700U);
}

// Limits that leave no descriptors for the store and the replicas would cut the daemon off.
BOOST_AUTO_TEST_CASE(derived_limits_leave_descriptors_and_room_for_a_request)
{
  for (const std::size_t descriptors : { 256, 500, 4100, 8192 }) {
    const ConnectionLimits limits = DeriveConnectionLimits(160 * kMegabyte, descriptors);
    const std::size_t sum = limits.callers + limits.peers + limits.directory + limits.readiness;
    BOOST_TEST(sum + (descriptors - 200) / 8 <= descriptors - 200);
  }
  BOOST_TEST(DeriveConnectionLimits(160 * kMegabyte, 4100).clientBytes == 68 * kMegabyte);
  BOOST_TEST(DeriveConnectionLimits(16 * kMegabyte, 256).clientBytes == 4 * kMegabyte);
  BOOST_TEST(!ConnectionLimits{}.isDerived);
}

// A body that stops short holds its memory until the request's timeout.
BOOST_AUTO_TEST_CASE(a_stalled_body_makes_room_for_a_newcomer)
{
  Fixture fixture;
  fixture.budget = std::make_shared<MemoryBudget>(200 * 1024);
  fixture.Listen();
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n";
  const auto stalled = fixture.Connect(head + std::string(20000, 'b'));
  fixture.loop.run_for(100ms);
  BOOST_TEST(fixture.budget->UsedBytes() > 40U * 1024);
  MemoryReservation rest(fixture.budget, MemoryUse::Request);
  BOOST_TEST(rest.Resize(std::size_t{ 150 } * 1024 - fixture.budget->UsedBytes()));
  // Nothing can be given up yet, so that the newcomer is refused, unread.
  const std::string body(6000, 'n');
  BOOST_TEST(fixture.Ask(body) == 503U);
  BOOST_TEST(fixture.handled == 0);
  fixture.RunLong();
  BOOST_TEST(fixture.Ask(body) == 200U);
  BOOST_TEST(fixture.handled == 1);
  BOOST_REQUIRE(fixture.closed.size() == 1U);
  BOOST_TEST((fixture.closed.front() == ClientPhase::Transfer));
  fixture.RunLong();
  BOOST_TEST(fixture.server->OpenConnections() == 0U);
  rest.ForceResize(0);
  BOOST_TEST(fixture.budget->UsedBytes() == 0U);
}

// Connections beyond the limit use up descriptors, also while they are refused.
BOOST_AUTO_TEST_CASE(idle_connections_beyond_the_limit_make_room_or_newcomers_are_refused)
{
  Fixture fixture;
  fixture.limits.connections = 2;
  fixture.Listen();
  constexpr std::size_t kSockets = 40;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
  sockets.reserve(kSockets);
  for (std::size_t n = 0; n < kSockets; ++n) {
    sockets.push_back(fixture.Connect(""));
  }
  fixture.loop.run_for(100ms);
  BOOST_TEST(fixture.server->OpenConnections() <= 18U);
  // The refusal may come before the request, so that the client doesn't take it for an answer.
  BOOST_TEST(fixture.Ask() != 200U);
  BOOST_TEST(fixture.handled == 0);
  fixture.RunLong();
  BOOST_TEST(fixture.Ask() == 200U);
  BOOST_REQUIRE(fixture.closed.size() == 1U);
  BOOST_TEST((fixture.closed.front() == ClientPhase::Unused));
}

// A reader that takes nothing holds the whole answer.
// A client that gets its refusal before it has sent the request takes the connection for broken.
BOOST_AUTO_TEST_CASE(a_refused_client_gets_its_answer_after_its_request)
{
  Fixture fixture;
  fixture.limits.connections = 1;
  fixture.limits.refusalWait = kTestTimeout;
  fixture.Listen();
  const auto first = fixture.Connect("");
  const auto refused = fixture.Connect("");
  while (fixture.server->OpenConnections() < 2) {
    fixture.loop.run_one();
  }
  fixture.loop.run_for(50ms);
  BOOST_TEST(refused->available() == 0U);
  asio::write(*refused, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  BOOST_TEST(fixture.ReadStatusLine(*refused) == "HTTP/1.1 503 Service Unavailable");
}

// Also those that come at one moment, and those that don't send a request.
BOOST_AUTO_TEST_CASE(every_refused_client_gets_an_answer)
{
  constexpr int kRefused = 100;
  Fixture fixture;
  fixture.limits.connections = 1;
  fixture.limits.refusalWait = 20ms;
  fixture.Listen();
  const auto first = fixture.Connect("");
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> refused;
  refused.reserve(kRefused);
  for (int n = 0; n < kRefused; ++n) {
    refused.push_back(fixture.Connect(""));
  }
  for (const auto& it : refused) {
    BOOST_TEST(fixture.ReadStatusLine(*it) == "HTTP/1.1 503 Service Unavailable");
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_not_read_makes_room)
{
  Fixture fixture;
  fixture.budget = std::make_shared<MemoryBudget>(5 * kMegabyte);
  fixture.answerBytes = 3 * kMegabyte;
  fixture.limits.sendBufferBytes = std::size_t{ 64 } * 1024;
  fixture.Listen();
  const auto reader = fixture.Connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  fixture.RunLong();
  BOOST_TEST(fixture.budget->UsedBytes() > 3 * kMegabyte);
  BOOST_TEST(fixture.Ask() == 200U);
  BOOST_TEST(fixture.closed.size() == 1U);
  fixture.RunLong();
  BOOST_TEST(fixture.budget->UsedBytes() == 0U);
}

// The timeout of a write that stayed set would close connections before the idle timeout.
BOOST_AUTO_TEST_CASE(a_connection_is_idle_for_longer_than_a_write_may_take)
{
  Fixture fixture;
  fixture.limits.writeTimeout = 100ms;
  fixture.Listen();
  std::vector<unsigned> statuses;
  const auto ask = [&]() -> core::Task<void> {
    TcpHttpConnection connection(fixture.loop.get_executor());
    std::string address = fixture.server->Address();
    co_await connection.Connect(std::move(address), kTestTimeout);
    for (int n = 0; n < 2; ++n) {
      HttpRequest request;
      const HttpResult result = co_await connection.Exchange(std::move(request), kTestTimeout);
      statuses.push_back(result.error == HttpClientError::None ? result.response.status : 0);
      asio::steady_timer pause(fixture.loop, 400ms);
      co_await pause.async_wait(kAsTuple);
    }
  };
  core::Start(fixture.loop.get_executor(), ask());
  while (statuses.size() < 2) {
    fixture.loop.run_one();
  }
  BOOST_TEST(statuses.front() == 200U);
  BOOST_TEST(statuses.back() == 200U);
}

// What the kernel holds for servers that don't read is limited, and goes on when they read again.
BOOST_AUTO_TEST_CASE(requests_that_are_not_read_take_memory_of_the_budget)
{
  constexpr int kServers = 40;
  constexpr std::size_t kBodyBytes = 300000;
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  const auto budget = std::make_shared<MemoryBudget>(kMegabyte);
  int answered = 0;
  const auto ask = [&]() -> core::Task<void> {
    TcpHttpConnection connection(loop.get_executor(), budget);
    co_await connection.Connect(ToString(acceptor.local_endpoint()), kTestTimeout);
    HttpRequest request;
    request.method = "POST";
    request.body.assign(kBodyBytes, 'b');
    const HttpResult result = co_await connection.Exchange(std::move(request), kTestTimeout);
    answered += result.response.status == 204 ? 1 : 0;
  };
  for (int n = 0; n < kServers; ++n) {
    core::Start(loop.get_executor(), ask());
  }
  loop.run_for(500ms);
  BOOST_TEST(budget->UsedBytes() > 0U);

  // The loop doesn't run meanwhile, so that only what the kernel has to send arrives.
  std::vector<SilentServer> servers;
  std::size_t unsent = 0;
  for (int n = 0; n < kServers; ++n) {
    servers.emplace_back(acceptor.accept());
    const std::size_t arrived = servers.back().socket.available();
    servers.back().ReadWhatArrives();
    unsent += servers.back().received.size() - arrived;
  }
  BOOST_TEST_MESSAGE("the kernel had " << unsent << " bytes to send");
  BOOST_TEST(unsent <= budget->TotalBytes());

  for (SilentServer& it : servers) {
    core::Start(loop.get_executor(), it.Answer(kBodyBytes));
  }
  loop.run_for(kTestTimeout);
  BOOST_TEST(answered == kServers);
  BOOST_TEST(budget->UsedBytes() == 0U);
}

// Failing a response for want of memory would count against a replica that did nothing wrong.
BOOST_AUTO_TEST_CASE(a_response_waits_for_memory)
{
  Fixture fixture;
  fixture.answerBytes = kMegabyte;
  fixture.Listen();
  const auto budget = std::make_shared<MemoryBudget>(2 * kMegabyte);
  auto other = std::make_unique<MemoryReservation>(budget, MemoryUse::Answer);
  BOOST_REQUIRE(other->Resize(3 * kMegabyte / 2));
  HttpResult result;
  bool isDone = false;
  const auto ask = [&]() -> core::Task<void> {
    TcpHttpConnection connection(fixture.loop.get_executor(), budget);
    std::string address = fixture.server->Address();
    co_await connection.Connect(std::move(address), kTestTimeout);
    HttpRequest request;
    result = co_await connection.Exchange(std::move(request), kTestTimeout);
    isDone = true;
  };
  core::Start(fixture.loop.get_executor(), ask());
  fixture.loop.run_for(200ms);
  BOOST_TEST(!isDone);
  other.reset();
  while (!isDone) {
    fixture.loop.run_one();
  }
  BOOST_TEST(result.response.body.size() == kMegabyte);
  BOOST_TEST(budget->UsedBytes() >= kMegabyte);
  result = {};
  BOOST_TEST(budget->UsedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
