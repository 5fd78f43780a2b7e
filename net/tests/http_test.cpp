#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

namespace skylarkwing::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

core::Task<HttpResponse>
Echo(HttpRequest aRequest)
{
  HttpResponse response;
  if (aRequest.Path() == "/pieces") {
    response.contentType = "text/event-stream";
    response.stream = [](HttpStream& aStream) -> core::Task<void> {
      std::string one = "one";
      co_await aStream.Write(std::move(one));
      std::string two = "two";
      co_await aStream.Write(std::move(two));
    };
  } else {
    response.body = aRequest.method + " " + aRequest.Path() + " " +
                    aRequest.QueryValue("q").value_or("-") + " " + aRequest.body;
  }
  co_return response;
}

struct Fixture
{
  Fixture()
  {
    limits.headerBytes = 2048;
    limits.bodyBytes = 100;
    limits.requestTimeout = 200ms;
    server = std::make_unique<HttpServer>(loop, limits, Echo);
    BOOST_REQUIRE(server->Listen("127.0.0.1:0"));
  }

  /** Sends bytes over a plain connection and returns everything until the server closes it. */
  std::string Raw(const std::string& aBytes)
  {
    std::string received;
    core::Start(loop.get_executor(), RawTask(aBytes, received));
    loop.run();
    return received;
  }

  core::Task<void> RawTask(std::string aBytes, std::string& aReceived)
  {
    const auto asTuple = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(loop);
    const std::string address = server->Address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    co_await socket.async_connect(endpoint, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(aBytes), asTuple);
    if (isHalfClosing) {
      socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    co_await asio::async_read(socket, asio::dynamic_buffer(aReceived), asTuple);
    server->Close();
  }

  /** Whether a plain client ends its side of the connection after its bytes. */
  bool isHalfClosing = false;
  asio::io_context loop;
  HttpServerLimits limits;
  std::unique_ptr<HttpServer> server;
};

core::Task<void>
ExchangeTwice(Fixture& aFixture, std::vector<HttpReply>& aReplies)
{
  HttpConnection connection(aFixture.loop.get_executor());
  const bool isConnected = co_await connection.Connect(aFixture.server->Address(), 1s);
  BOOST_TEST(isConnected);
  for (int n = 0; n < 2; ++n) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/path?q=a%20b";
    request.body = "body" + std::to_string(n);
    aReplies.push_back(co_await connection.Exchange(std::move(request), 1s));
  }
  aFixture.server->Close();
}

core::Task<void>
ReadPieces(Fixture& aFixture, std::string& aReceived)
{
  HttpConnection connection(aFixture.loop.get_executor());
  std::string address = aFixture.server->Address();
  co_await connection.Connect(std::move(address), 1s);
  HttpRequest request;
  request.target = "/pieces";
  const HttpReply head = co_await connection.OpenStream(std::move(request), 1s);
  BOOST_TEST(head.response.status == 200U);
  while (true) {
    const auto piece = co_await connection.ReadPiece(1s);
    if (!piece) {
      break;
    }
    aReceived += *piece;
  }
  aFixture.server->Close();
}

core::Task<void>
ExchangeAfterClose(Fixture& aFixture, HttpReply& aReply)
{
  HttpConnection connection(aFixture.loop.get_executor());
  std::string address = aFixture.server->Address();
  co_await connection.Connect(std::move(address), 1s);
  asio::steady_timer pause(aFixture.loop, 20ms);
  co_await pause.async_wait(asio::use_awaitable);
  aFixture.server->Close();
  pause.expires_after(20ms);
  co_await pause.async_wait(asio::use_awaitable);
  HttpRequest request;
  aReply = co_await connection.Exchange(std::move(request), 1s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(exchanges_share_a_connection)
{
  Fixture fixture;
  std::vector<HttpReply> replies;
  core::Start(fixture.loop.get_executor(), ExchangeTwice(fixture, replies));
  fixture.loop.run();
  BOOST_REQUIRE(replies.size() == 2U);
  BOOST_TEST(replies[0].response.body == "POST /path a b body0");
  BOOST_TEST(replies[1].response.body == "POST /path a b body1");
}

BOOST_AUTO_TEST_CASE(streamed_pieces_arrive_in_order)
{
  Fixture fixture;
  std::string received;
  core::Start(fixture.loop.get_executor(), ReadPieces(fixture, received));
  fixture.loop.run();
  BOOST_TEST(received == "onetwo");
}

BOOST_AUTO_TEST_CASE(a_connection_closed_before_the_request_sent_nothing)
{
  Fixture fixture;
  HttpReply reply;
  core::Start(fixture.loop.get_executor(), ExchangeAfterClose(fixture, reply));
  fixture.loop.run();
  BOOST_TEST(NameOf(reply.error) == "nothing_sent");
}

BOOST_AUTO_TEST_CASE(malformed_requests_get_a_typed_refusal)
{
  Fixture fixture;
  const std::string answer = fixture.Raw("NOT HTTP\r\n\r\n");
  BOOST_TEST(answer.find("400") != std::string::npos);
  BOOST_TEST(answer.find(R"("error":"malformed")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(oversize_bodies_are_refused)
{
  Fixture fixture;
  const std::string body(1000, 'x');
  const std::string answer = fixture.Raw("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + body);
  BOOST_TEST(answer.find("413") != std::string::npos);
  BOOST_TEST(answer.find("body_too_large") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(oversize_headers_are_refused)
{
  Fixture fixture;
  const std::string filler(4000, 'x');
  const std::string answer = fixture.Raw("GET / HTTP/1.1\r\nFiller: " + filler + "\r\n\r\n");
  BOOST_TEST(answer.find("431") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(slow_requests_are_refused)
{
  Fixture fixture;
  const std::string answer = fixture.Raw("GET / HTTP/1.1\r\nHalf");
  BOOST_TEST(answer.find("408") != std::string::npos);
  BOOST_TEST(answer.find("too_slow") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(half_closed_clients_get_their_answer)
{
  Fixture fixture;
  fixture.isHalfClosing = true;
  const std::string answer = fixture.Raw("GET /path HTTP/1.1\r\n\r\n");
  BOOST_TEST(answer.find("200") != std::string::npos);
  BOOST_TEST(answer.find("GET /path") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(half_closed_clients_do_not_hold_a_connection_with_half_a_request)
{
  Fixture fixture;
  fixture.isHalfClosing = true;
  const std::string answer = fixture.Raw("GET /path HTT");
  BOOST_TEST(answer.find("400") != std::string::npos);
  BOOST_TEST(fixture.server->OpenConnections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
