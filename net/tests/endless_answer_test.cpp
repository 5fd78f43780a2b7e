// Servers that send without end, too early, or twice.

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

/** Bytes that a connection may take in before it is closed, with what two sockets hold. */
constexpr std::size_t kMostTaken = std::size_t{ 16 } * 1024 * 1024;

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Speaks to one connection after the other, as the test says. */
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
  std::vector<HttpReply> replies;
  std::vector<bool> wasOpen;

  /** Sends a beginning, and then pieces without end until the connection is closed. */
  void ServeEndless(const std::string& aBegin, const std::string& aPiece)
  {
    server.emplace(
      loop, [this, begin = aBegin, piece = aPiece](tcp::socket& aSocket) -> core::Task<void> {
        co_await ReadHead(aSocket);
        co_await Write(aSocket, begin);
        while (true) {
          const auto [ec, n] = co_await asio::async_write(aSocket, asio::buffer(piece), kAsTuple);
          server->written += n;
          if (ec || server->written > 4 * kMostTaken) {
            co_return;
          }
        }
      });
  }

  core::Task<void> Ask(std::size_t aCount, std::string aBody, core::Duration aTimeout)
  {
    HttpConnection connection(loop.get_executor());
    for (std::size_t n = 0; n < aCount; ++n) {
      if (!connection.IsOpen()) {
        std::string address = server->Address();
        co_await connection.Connect(std::move(address), seconds{ 5 });
      }
      HttpRequest request;
      request.method = aBody.empty() ? "GET" : "POST";
      request.body = aBody;
      replies.push_back(co_await connection.Exchange(std::move(request), aTimeout));
      wasOpen.push_back(connection.IsOpen());
    }
    connection.Close();
    server->Close();
  }

  void Play(std::size_t aCount, std::string aBody = {}, core::Duration aTimeout = seconds{ 20 })
  {
    core::Start(loop.get_executor(), Ask(aCount, std::move(aBody), aTimeout));
    loop.run();
  }

  /** Checks that a server without end is cut off soon, with a true reason. */
  void CheckCutOff()
  {
    Play(1);
    BOOST_TEST((replies.at(0).error == HttpClientError::Malformed));
    BOOST_TEST(!wasOpen.at(0));
    BOOST_TEST(server->written <= kMostTaken);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answers, Fixture)

BOOST_AUTO_TEST_CASE(a_status_line_without_end_is_cut_off)
{
  ServeEndless("HTTP/1.1 200 ", std::string(1000, 'x'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(header_lines_without_end_are_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n");
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(a_chunked_body_without_end_is_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "400\r\n" + std::string(1024, 'x') + "\r\n");
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(chunk_extensions_without_end_are_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4",
               ";ext=" + std::string(900, 'x'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(trailers_without_end_are_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: 1\r\n");
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(a_body_that_ends_with_its_connection_and_never_does_is_cut_off)
{
  ServeEndless("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_are_cut_off)
{
  ServeEndless("", std::string(1000, '\x01'));
  CheckCutOff();
}

BOOST_AUTO_TEST_CASE(a_trickle_ends_with_the_time_of_the_exchange)
{
  server.emplace(loop, [this](tcp::socket& aSocket) -> core::Task<void> {
    co_await ReadHead(aSocket);
    co_await Write(aSocket, "HTTP/1.1 200 OK\r\n");
    asio::steady_timer pause(loop);
    for (bool isOpen = true; isOpen;) {
      pause.expires_after(milliseconds{ 5 });
      co_await pause.async_wait(kAsTuple);
      std::string piece = "X-Line: 1\r\n";
      const auto [ec, n] = co_await asio::async_write(aSocket, asio::buffer(piece), kAsTuple);
      isOpen = !ec;
    }
  });
  Play(1, {}, milliseconds{ 100 });
  BOOST_TEST((replies.at(0).error == HttpClientError::TimedOut));
  BOOST_TEST(!wasOpen.at(0));
}

BOOST_AUTO_TEST_CASE(bytes_after_an_answer_belong_to_no_later_request)
{
  // The second answer is complete and would pass for the next request's.
  server.emplace(loop, [](tcp::socket& aSocket) -> core::Task<void> {
    co_await ReadHead(aSocket);
    co_await Write(aSocket, kAnswer + "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    co_await ReadHead(aSocket);
  });
  Play(2);
  BOOST_TEST(replies.at(0).response.body == "ok");
  BOOST_TEST((replies.at(1).error == HttpClientError::NothingSent));
}

BOOST_AUTO_TEST_CASE(an_answer_that_comes_before_a_body_is_read_is_delivered_at_once)
{
  // Larger than what two sockets hold, so that it can't be sent whole to a server that doesn't
  // read.
  const std::string body(kMostTaken, 'b');
  server.emplace(loop, [this](tcp::socket& aSocket) -> core::Task<void> {
    co_await ReadHead(aSocket);
    co_await Write(aSocket, kAnswer);
    // It reads on when the caller is gone, and must get nothing but that body.
    asio::steady_timer pause(loop, milliseconds{ 50 });
    co_await pause.async_wait(kAsTuple);
    std::string rest(kMostTaken, '\0');
    const auto [ec, n] = co_await asio::async_read(aSocket, asio::buffer(rest), kAsTuple);
    BOOST_TEST(rest.substr(0, n).find_first_not_of('b') == std::string::npos);
  });
  Play(2, body);
  for (const HttpReply& reply : replies) {
    BOOST_TEST((reply.error == HttpClientError::None));
    BOOST_TEST(reply.response.body == "ok");
  }
  BOOST_TEST(!wasOpen.at(0));
  BOOST_TEST(server->connections == 2);
}

BOOST_AUTO_TEST_CASE(a_body_that_is_read_whole_leaves_the_connection_open)
{
  server.emplace(loop, [](tcp::socket& aSocket) -> core::Task<void> {
    for (int n = 0; n < 2; ++n) {
      std::string all;
      co_await asio::async_read_until(aSocket, asio::dynamic_buffer(all), "body", kAsTuple);
      co_await Write(aSocket, kAnswer);
    }
  });
  Play(2, "body");
  BOOST_TEST(wasOpen.at(1));
  BOOST_TEST(server->connections == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
