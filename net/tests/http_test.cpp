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

  /** Sends raw bytes. @return everything received until the server closes the connection. */
  std::string SendRaw(const std::string& aBytes)
  {
    std::string received;
    core::Start(loop.get_executor(), ExchangeRaw(aBytes, received));
    loop.run();
    return received;
  }

  core::Task<void> ExchangeRaw(std::string aBytes, std::string& aReceived)
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

  /** Whether SendRaw() shuts down its sending side after the bytes. */
  bool isHalfClosing = false;
  asio::io_context loop;
  HttpServerLimits limits;
  std::unique_ptr<HttpServer> server;
};

core::Task<void>
ExchangeTwice(Fixture& aFixture, std::vector<HttpResult>& aResults)
{
  TcpHttpConnection connection(aFixture.loop.get_executor());
  const bool isConnected = co_await connection.Connect(aFixture.server->Address(), 1s);
  BOOST_TEST(isConnected);
  for (int n = 0; n < 2; ++n) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/path?q=a%20b";
    request.body = "body" + std::to_string(n);
    aResults.push_back(co_await connection.Exchange(std::move(request), 1s));
  }
  aFixture.server->Close();
}

core::Task<void>
ReadStream(Fixture& aFixture, std::string& aReceived)
{
  TcpHttpConnection connection(aFixture.loop.get_executor());
  std::string address = aFixture.server->Address();
  co_await connection.Connect(std::move(address), 1s);
  HttpRequest request;
  request.target = "/pieces";
  const HttpResult header = co_await connection.OpenStream(std::move(request), 1s);
  BOOST_TEST(header.response.status == 200U);
  while (true) {
    const auto data = co_await connection.ReadSome(1s);
    if (!data) {
      break;
    }
    aReceived += *data;
  }
  aFixture.server->Close();
}

core::Task<void>
ExchangeAfterClose(Fixture& aFixture, HttpResult& aResult)
{
  TcpHttpConnection connection(aFixture.loop.get_executor());
  std::string address = aFixture.server->Address();
  co_await connection.Connect(std::move(address), 1s);
  asio::steady_timer pause(aFixture.loop, 20ms);
  co_await pause.async_wait(asio::use_awaitable);
  aFixture.server->Close();
  pause.expires_after(20ms);
  co_await pause.async_wait(asio::use_awaitable);
  HttpRequest request;
  aResult = co_await connection.Exchange(std::move(request), 1s);
}

/** Sends a request with each header field, and then one without any. */
core::Task<void>
ExchangeHeaders(Fixture& aFixture,
                std::vector<HttpHeader> aHeaders,
                std::vector<HttpResult>& aResults)
{
  TcpHttpConnection connection(aFixture.loop.get_executor());
  const bool isConnected = co_await connection.Connect(aFixture.server->Address(), 1s);
  BOOST_TEST(isConnected);
  for (const HttpHeader& header : aHeaders) {
    HttpRequest request;
    request.headers.push_back(header);
    aResults.push_back(co_await connection.Exchange(std::move(request), 1s));
  }
  HttpRequest request;
  request.target = "/a b";
  aResults.push_back(co_await connection.Exchange(std::move(request), 1s));
  request = {};
  aResults.push_back(co_await connection.Exchange(std::move(request), 1s));
  aFixture.server->Close();
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(a_text_that_would_end_its_field_is_not_written)
{
  Fixture fixture;
  std::vector<std::string> injected;
  fixture.server =
    std::make_unique<HttpServer>(fixture.loop, fixture.limits, [&](HttpRequest aRequest) {
      injected.push_back(aRequest.Header("X-Injected").value_or("none"));
      return Echo(std::move(aRequest));
    });
  BOOST_REQUIRE(fixture.server->Listen("127.0.0.1:0"));
  const std::vector<HttpHeader> headers{ { "Id", "a\r\nX-Injected: 1" },
                                         { "Id", "a\nX-Injected: 1" },
                                         { "Id", std::string("a\0b", 3) },
                                         { "Id\r\nX-Injected", "1" },
                                         { "Id: a", "1" },
                                         { "", "1" } };
  std::vector<HttpResult> results;
  core::Start(fixture.loop.get_executor(), ExchangeHeaders(fixture, headers, results));
  fixture.loop.run();
  BOOST_REQUIRE(results.size() == headers.size() + 2);
  for (std::size_t n = 0; n + 1 < results.size(); ++n) {
    BOOST_TEST(NameOf(results[n].error) == "invalid_request");
  }
  BOOST_TEST(results.back().response.status == 200U);
  BOOST_TEST(injected == std::vector<std::string>{ "none" });
}

BOOST_AUTO_TEST_CASE(a_response_with_a_text_that_would_end_its_field_is_replaced)
{
  Fixture fixture;
  fixture.server = std::make_unique<HttpServer>(
    fixture.loop, fixture.limits, [](HttpRequest) -> core::Task<HttpResponse> {
      HttpResponse response;
      response.headers.push_back({ "Name", "a\r\nX-Injected: 1" });
      co_return response;
    });
  BOOST_REQUIRE(fixture.server->Listen("127.0.0.1:0"));
  const std::string answer = fixture.SendRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 502") == 0U);
  BOOST_TEST(answer.find("X-Injected") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(exchanges_reuse_a_connection)
{
  Fixture fixture;
  std::vector<HttpResult> results;
  core::Start(fixture.loop.get_executor(), ExchangeTwice(fixture, results));
  fixture.loop.run();
  BOOST_REQUIRE(results.size() == 2U);
  BOOST_TEST(results[0].response.body == "POST /path a b body0");
  BOOST_TEST(results[1].response.body == "POST /path a b body1");
}

BOOST_AUTO_TEST_CASE(streamed_data_arrives_in_order)
{
  Fixture fixture;
  std::string received;
  core::Start(fixture.loop.get_executor(), ReadStream(fixture, received));
  fixture.loop.run();
  BOOST_TEST(received == "onetwo");
}

BOOST_AUTO_TEST_CASE(a_connection_closed_before_the_request_fails_with_nothing_sent)
{
  Fixture fixture;
  HttpResult result;
  core::Start(fixture.loop.get_executor(), ExchangeAfterClose(fixture, result));
  fixture.loop.run();
  BOOST_TEST(NameOf(result.error) == "nothing_sent");
}

BOOST_AUTO_TEST_CASE(malformed_requests_get_a_response_with_the_error_name)
{
  Fixture fixture;
  const std::string answer = fixture.SendRaw("NOT HTTP\r\n\r\n");
  BOOST_TEST(answer.find("400") != std::string::npos);
  BOOST_TEST(answer.find(R"("error":"malformed")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(oversize_bodies_are_refused)
{
  Fixture fixture;
  const std::string body(1000, 'x');
  const std::string answer =
    fixture.SendRaw("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + body);
  BOOST_TEST(answer.find("413") != std::string::npos);
  BOOST_TEST(answer.find("body_too_large") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(oversize_headers_are_refused)
{
  Fixture fixture;
  const std::string filler(4000, 'x');
  const std::string answer = fixture.SendRaw("GET / HTTP/1.1\r\nFiller: " + filler + "\r\n\r\n");
  BOOST_TEST(answer.find("431") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(slow_requests_are_refused)
{
  Fixture fixture;
  const std::string answer = fixture.SendRaw("GET / HTTP/1.1\r\nHalf");
  BOOST_TEST(answer.find("408") != std::string::npos);
  BOOST_TEST(answer.find("too_slow") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(half_closed_clients_get_a_response)
{
  Fixture fixture;
  fixture.isHalfClosing = true;
  const std::string answer = fixture.SendRaw("GET /path HTTP/1.1\r\n\r\n");
  BOOST_TEST(answer.find("200") != std::string::npos);
  BOOST_TEST(answer.find("GET /path") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(half_closed_clients_with_an_incomplete_request_are_disconnected)
{
  Fixture fixture;
  fixture.isHalfClosing = true;
  const std::string answer = fixture.SendRaw("GET /path HTT");
  BOOST_TEST(answer.find("400") != std::string::npos);
  BOOST_TEST(fixture.server->OpenConnections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
