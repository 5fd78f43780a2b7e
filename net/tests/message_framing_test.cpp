// Messages whose end or status is not what HTTP allows, and handlers that throw.

#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <stdexcept>
#include <string>

namespace skylarkwing::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

const std::string kFinalResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** A server whose handler counts the requests that it gets, and throws for one path. */
struct ServerFixture
{
  ServerFixture()
  {
    HttpServerLimits limits;
    limits.watchClients = true;
    limits.requestTimeout = 2s;
    server = std::make_unique<HttpServer>(
      loop, limits, [this](HttpRequest aRequest) -> core::Task<HttpResponse> {
        ++handled;
        lastRequest = aRequest;
        if (aRequest.target == "/throw") {
          throw std::runtime_error("rejected by a library");
        }
        HttpResponse response;
        response.body = "body of " + aRequest.target;
        co_return response;
      });
    BOOST_REQUIRE(server->Listen("127.0.0.1:0"));
  }

  /** Sends bytes and closes the sending side. @return all that the server answers. */
  std::string Send(const std::string& aBytes)
  {
    std::string received;
    core::Start(loop.get_executor(), Exchange(aBytes, received));
    loop.restart();
    loop.run();
    return received;
  }

  core::Task<void> Exchange(std::string aBytes, std::string& aReceived)
  {
    tcp::socket socket(loop);
    const std::string address = server->Address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port },
                                  asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(aBytes), kAsTuple);
    co_await asio::async_read(socket, asio::dynamic_buffer(aReceived), kAsTuple);
    server->Close();
  }

  asio::io_context loop;
  std::unique_ptr<HttpServer> server;
  int handled = 0;
  HttpRequest lastRequest;
};

/** @return what a client makes of the bytes that a server sends, whatever it is asked. */
HttpResult
Receive(const std::string& aBytes, const std::string& aMethod = "GET")
{
  asio::io_context loop;
  tcp::acceptor acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  HttpResult result;
  core::Start(
    loop.get_executor(), [](tcp::acceptor& aAcceptor, std::string aAnswer) -> core::Task<void> {
      tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
      std::string head;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", kAsTuple);
      co_await asio::async_write(socket, asio::buffer(aAnswer), kAsTuple);
      // The connection stays open until the client closes it.
      co_await asio::async_read(socket, asio::dynamic_buffer(head), kAsTuple);
    }(acceptor, aBytes));
  core::Start(loop.get_executor(),
              [](asio::io_context& aLoop,
                 std::string aAddress,
                 std::string aName,
                 HttpResult& aResult) -> core::Task<void> {
                TcpHttpConnection connection(aLoop.get_executor());
                const bool isConnected = co_await connection.Connect(std::move(aAddress), 2s);
                BOOST_TEST(isConnected);
                HttpRequest request;
                request.method = std::move(aName);
                aResult = co_await connection.Exchange(std::move(request), 2s);
                connection.Close();
              }(loop, address, aMethod, result));
  loop.run();
  return result;
}

std::string
StatusLine(const std::string& aStatus)
{
  std::string line("HTTP/1.1 ");
  line.append(aStatus).append(" Text\r\n");
  return line;
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_framing)

// Trailers would pass for fields of the head, and many of them take much memory.
BOOST_AUTO_TEST_CASE(trailers_are_not_part_of_the_head)
{
  ServerFixture fixture;
  const std::string answer =
    fixture.Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nabc\r\n0\r\nRequest-Deadline: 1\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 200") == 0U, answer);
  BOOST_TEST(fixture.lastRequest.body == "abc");
  BOOST_TEST(fixture.lastRequest.Header("Host").value_or("") == "h");
  BOOST_TEST(!fixture.lastRequest.Header("Request-Deadline").has_value());
}

// The body of such a request was read as a further request, which no client had sent.
BOOST_AUTO_TEST_CASE(a_request_whose_end_is_uncertain_is_refused)
{
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::string framing :
       { "Transfer-Encoding: gzip\r\n",
         "Transfer-Encoding: chunked, gzip\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
         "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n",
         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 5\r\nContent-Length: 6\r\n" }) {
    ServerFixture fixture;
    std::string request("POST /a HTTP/1.1\r\nHost: h\r\n");
    request.append(framing).append("\r\n").append(smuggled);
    const std::string answer = fixture.Send(request);
    BOOST_TEST(answer.find("HTTP/1.1 400") == 0U, framing << answer);
    BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos, framing << answer);
    BOOST_TEST(fixture.handled == 0, framing);
  }
}

// The HTTP library throws when such a request is forwarded, and the process ended with all
// requests.
BOOST_AUTO_TEST_CASE(a_trace_request_with_a_body_is_refused)
{
  ServerFixture fixture;
  const std::string answer =
    fixture.Send("TRACE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
  BOOST_TEST(answer.find("HTTP/1.1 400") == 0U, answer);
  BOOST_TEST(fixture.handled == 0);
}

BOOST_AUTO_TEST_CASE(an_exception_out_of_a_handler_fails_only_its_request)
{
  ServerFixture fixture;
  const std::string answer =
    fixture.Send("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n"
                 "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 502") == 0U, answer);
  BOOST_TEST(answer.find("body of /next") != std::string::npos, answer);
  BOOST_TEST(fixture.server->ActiveRequests() == 0U);
}

// A body after the head would be read as the beginning of the next answer.
BOOST_AUTO_TEST_CASE(an_answer_to_head_has_no_body)
{
  ServerFixture fixture;
  const std::string answer =
    fixture.Send("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 200") == 0U, answer);
  BOOST_TEST(answer.find("Content-Length: 10") != std::string::npos, answer);
  BOOST_TEST(answer.substr(answer.size() - 4) == "\r\n\r\n", answer);
}

BOOST_AUTO_TEST_CASE(an_answer_to_head_is_complete_without_its_body)
{
  const HttpResult result = Receive("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "HEAD");
  BOOST_TEST((result.error == HttpClientError::None));
  BOOST_TEST(result.response.status == 200U);
}

// Such an answer was passed on to the caller, who got no other one.
BOOST_AUTO_TEST_CASE(a_status_outside_of_the_final_ones_is_no_answer)
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    const HttpResult result =
      Receive(StatusLine(status) + "Content-Length: 0\r\n\r\n" + kFinalResponse);
    BOOST_TEST((result.error == HttpClientError::Malformed), status);
  }
}

BOOST_AUTO_TEST_CASE(interim_answers_are_skipped)
{
  std::string bytes = StatusLine("100");
  bytes.append("\r\n").append(StatusLine("103")).append("Link: </a>\r\n\r\n");
  bytes.append(kFinalResponse);
  const HttpResult result = Receive(bytes);
  BOOST_TEST((result.error == HttpClientError::None));
  BOOST_TEST(result.response.status == 200U);
  BOOST_TEST(result.response.body == "ok");
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_given_up)
{
  std::string interim;
  for (int n = 0; n < 100; ++n) {
    interim.append(StatusLine("100")).append("\r\n");
  }
  const HttpResult result = Receive(interim);
  BOOST_TEST((result.error == HttpClientError::Malformed));
}

BOOST_AUTO_TEST_CASE(an_answer_in_an_unknown_coding_is_malformed)
{
  const HttpResult result = Receive(StatusLine("200") + "Transfer-Encoding: gzip\r\n\r\nab");
  BOOST_TEST((result.error != HttpClientError::None));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
