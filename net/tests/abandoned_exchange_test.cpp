// Requests that are abandoned, when the server has not read them yet.

#include "core/asio_timer_service.h"
#include "core/task.h"
#include "net/endpoint.h"
#include "net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::net::tests {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/** A client connection, and the server's end of it. */
struct Fixture
{
  asio::io_context loop;
  core::AsioTimerService timers{ loop };
  tcp::acceptor acceptor{ loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
  tcp::socket server{ loop };
  std::shared_ptr<TcpHttpConnection> client =
    std::make_shared<TcpHttpConnection>(loop.get_executor());
  HttpClientError error = HttpClientError::None;
  boost::system::error_code end;

  core::Task<void> Exchange(core::Duration aTimeout)
  {
    const bool isConnected =
      co_await client->Connect(net::ToString(acceptor.local_endpoint()), std::chrono::seconds{ 5 });
    BOOST_REQUIRE(isConnected);
    HttpRequest request;
    request.target = "/x";
    error = (co_await client->Exchange(std::move(request), aTimeout)).error;
  }

  /** Reads until the connection ends, and replies to the first request with a response. */
  core::Task<void> Serve(std::string aResponse)
  {
    server = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> buf{};
    while (!end) {
      const auto [ec, n] = co_await server.async_read_some(asio::buffer(buf), kAsTuple);
      end = ec;
      if (!ec && !aResponse.empty()) {
        co_await asio::async_write(server, asio::buffer(aResponse), kAsTuple);
        aResponse.clear();
      }
    }
  }

  void Run(core::Duration aTimeout, std::string aResponse)
  {
    core::Start(loop.get_executor(), Serve(std::move(aResponse)));
    core::Start(loop.get_executor(), Exchange(aTimeout));
    loop.run_for(std::chrono::seconds{ 10 });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(abandoned_exchanges, Fixture)

BOOST_AUTO_TEST_CASE(a_request_that_timed_out_arrives_when_a_cut_ends)
{
  Run(milliseconds{ 50 }, "");
  BOOST_TEST((error == HttpClientError::TimedOut));
  BOOST_TEST(end == asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_arrives_when_a_cut_ends)
{
  timers.Schedule(milliseconds{ 50 }, [this] { client->Close(); });
  Run(std::chrono::seconds{ 5 }, "");
  BOOST_TEST((error == HttpClientError::Broken));
  BOOST_TEST(end == asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_reset)
{
  timers.Schedule(milliseconds{ 50 }, [this] { client->Close(); });
  Run(std::chrono::seconds{ 5 }, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST((error == HttpClientError::None));
  BOOST_TEST(end == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net::tests
