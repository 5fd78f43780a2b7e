// Misbehaving servers: endless, early and duplicate responses.

#include "net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/** Maximum bytes that a server can send before it is cut off, including socket buffers. */
constexpr std::size_t kMaxReceivedBytes = std::size_t{ 16 } * 1024 * 1024;

const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Server that runs a script of the test on each connection. */
class RawServer
{
public:
  using Script = std::function<core::Task<void>(tcp::socket&)>;

  RawServer(asio::io_context& aLoop, Script aScript)
    : mAcceptor(aLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , mScript(std::move(aScript))
  {
    core::Start(aLoop.get_executor(), Accept());
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  void Close() { mAcceptor.close(); }

  int connections = 0;
  std::size_t written = 0;

private:
  tcp::acceptor mAcceptor;
  Script mScript;

  core::Task<void> Accept()
  {
    while (mAcceptor.is_open()) {
      auto [ec, socket] = co_await mAcceptor.async_accept(kAsTuple);
      if (ec) {
        co_return;
      }
      ++connections;
      core::Start(mAcceptor.get_executor(), Serve(std::move(socket)));
    }
  }

  core::Task<void> Serve(tcp::socket aSocket) { co_await mScript(aSocket); }
};

core::Task<void>
ReadHead(tcp::socket& aSocket)
{
  std::string head;
  co_await asio::async_read_until(aSocket, asio::dynamic_buffer(head), "\r\n\r\n", kAsTuple);
}

core::Task<void>
Write(tcp::socket& aSocket, std::string aBytes)
{
  co_await asio::async_write(aSocket, asio::buffer(aBytes), kAsTuple);
}

struct Fixture
{
  asio::io_context loop;
  std::optional<RawServer> server;
  std::vector<HttpResult> results;
  std::vector<bool> wasOpen;

  /** Sends a prefix, and then the same data repeatedly until the connection is closed. */
  void ServeEndless(const std::string& aPrefix, const std::string& aData)
  {
    server.emplace(
      loop, [this, prefix = aPrefix, data = aData](tcp::socket& aSocket) -> core::Task<void> {
        co_await ReadHead(aSocket);
        co_await Write(aSocket, prefix);
        while (true) {
          const auto [ec, n] = co_await asio::async_write(aSocket, asio::buffer(data), kAsTuple);
          server->written += n;
          if (ec || server->written > 4 * kMaxReceivedBytes) {
            co_return;
          }
        }
      });
  }

  core::Task<void> RunExchanges(std::size_t aCount, std::string aBody, core::Duration aTimeout)
  {
    TcpHttpConnection connection(loop.get_executor());
    for (std::size_t n = 0; n < aCount; ++n) {
      if (!connection.IsOpen()) {
        std::string address = server->Address();
        co_await connection.Connect(std::move(address), seconds{ 5 });
      }
      HttpRequest request;
      request.method = aBody.empty() ? "GET" : "POST";
      request.body = aBody;
      results.push_back(co_await connection.Exchange(std::move(request), aTimeout));
      wasOpen.push_back(connection.IsOpen());
    }
    connection.Close();
    server->Close();
  }

  void Run(std::size_t aCount, std::string aBody = {}, core::Duration aTimeout = seconds{ 20 })
  {
    core::Start(loop.get_executor(), RunExchanges(aCount, std::move(aBody), aTimeout));
    loop.run();
  }

  /** Checks that an endless response is cut off and reported as malformed. */
  void CheckCutOff()
  {
    Run(1);
    BOOST_TEST((results.at(0).error == HttpClientError::Malformed));
    BOOST_TEST(!wasOpen.at(0));
    BOOST_TEST(server->written <= kMaxReceivedBytes);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_responses, Fixture)

BOOST_AUTO_TEST_CASE(an_endless_status_line_is_cut_off)
{
  ServeEndless("HTTP/1.1 200 ", std::string(1000, 'x'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(endless_header_fields_are_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n");
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(an_endless_chunked_body_is_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "400\r\n" + std::string(1024, 'x') + "\r\n");
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(endless_chunk_extensions_are_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4",
               ";ext=" + std::string(900, 'x'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(endless_trailers_are_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: 1\r\n");
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(an_endless_body_without_length_is_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(endless_data_that_is_not_http_is_cut_off)
{
  ServeEndless("", std::string(1000, '\x01'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(a_slow_endless_response_ends_at_the_timeout_of_the_exchange)
{
  server.emplace(loop, [this](tcp::socket& aSocket) -> core::Task<void> {
    co_await ReadHead(aSocket);
    co_await Write(aSocket, "HTTP/1.1 200 OK\r\n");
    asio::steady_timer pause(loop);
    for (bool isOpen = true; isOpen;) {
      pause.expires_after(milliseconds{ 5 });
      co_await pause.async_wait(kAsTuple);
      std::string data = "X-Line: 1\r\n";
      const auto [ec, n] = co_await asio::async_write(aSocket, asio::buffer(data), kAsTuple);
      isOpen = !ec;
    }
  });
  Run(1, {}, milliseconds{ 100 });
  BOOST_TEST((results.at(0).error == HttpClientError::TimedOut));
  BOOST_TEST(!wasOpen.at(0));
}

BOOST_AUTO_TEST_CASE(a_response_that_ends_in_its_head_or_body_passes_for_a_complete_one)
{
  const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n";
  const std::vector<std::string> responses{
    head + "Content-Length: 4\r\n\r\nbody",
    head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    // Without a length the body ends with the connection, so only the head can be incomplete.
    head + "\r\n",
  };
  std::vector<std::string> cut;
  for (const std::string& response : responses) {
    for (std::size_t n = 0; n < response.size(); ++n) {
      cut.push_back(response.substr(0, n));
    }
  }
  for (const char* body : { "", "request" }) {
    results.clear();
    std::size_t next = 0;
    server.emplace(loop, [&](tcp::socket& aSocket) -> core::Task<void> {
      co_await ReadHead(aSocket);
      co_await Write(aSocket, cut.at(next++));
      // Sends the end of the stream and not a reset, which is an error in any case.
      aSocket.shutdown(tcp::socket::shutdown_send);
      co_await ReadHead(aSocket);
    });
    loop.restart();
    Run(cut.size(), body);
    BOOST_REQUIRE(results.size() == cut.size());
    for (std::size_t n = 0; n < cut.size(); ++n) {
      BOOST_TEST((results[n].error != HttpClientError::None), cut[n]);
    }
  }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_are_not_taken_for_the_next_one)
{
  // The second response is complete and could be mistaken for that of the next request.
  server.emplace(loop, [](tcp::socket& aSocket) -> core::Task<void> {
    co_await ReadHead(aSocket);
    co_await Write(aSocket, kResponse + "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    co_await ReadHead(aSocket);
  });
  Run(2);
  BOOST_TEST(results.at(0).response.body == "ok");
  BOOST_TEST((results.at(1).error == HttpClientError::NothingSent));
}

BOOST_AUTO_TEST_CASE(a_response_sent_before_the_body_is_read_is_delivered_immediately)
{
  // Larger than the socket buffers, so it cannot be sent completely unless the server reads it.
  const std::string body(kMaxReceivedBytes, 'b');
  server.emplace(loop, [this](tcp::socket& aSocket) -> core::Task<void> {
    co_await ReadHead(aSocket);
    co_await Write(aSocket, kResponse);
    // After the client has disconnected, the server must receive nothing but the body.
    asio::steady_timer pause(loop, milliseconds{ 50 });
    co_await pause.async_wait(kAsTuple);
    std::string received(kMaxReceivedBytes, '\0');
    const auto [ec, n] = co_await asio::async_read(aSocket, asio::buffer(received), kAsTuple);
    BOOST_TEST(received.substr(0, n).find_first_not_of('b') == std::string::npos);
  });
  Run(2, body);
  for (const HttpResult& result : results) {
    BOOST_TEST((result.error == HttpClientError::None));
    BOOST_TEST(result.response.body == "ok");
  }
  BOOST_TEST(!wasOpen.at(0));
  BOOST_TEST(server->connections == 2);
}

BOOST_AUTO_TEST_CASE(a_connection_stays_open_when_the_body_is_read_completely)
{
  server.emplace(loop, [](tcp::socket& aSocket) -> core::Task<void> {
    for (int n = 0; n < 2; ++n) {
      std::string all;
      co_await asio::async_read_until(aSocket, asio::dynamic_buffer(all), "body", kAsTuple);
      co_await Write(aSocket, kResponse);
    }
  });
  Run(2, "body");
  BOOST_TEST(wasOpen.at(1));
  BOOST_TEST(server->connections == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
