#include "net/http_client.h"

#include "core/name_table.h"
#include "net/endpoint.h"
#include "net/message_text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <tuple>
#include <utility>

namespace skylarkwing::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr core::NameTable<HttpClientError, 6> kErrorNames{
  { "none", "connect_failed", "nothing_sent", "broken", "timed_out", "malformed" }
};
/** Far above any answer: the store sends at most 1 MB in base64. */
constexpr std::uint64_t kLargestAnswerBytes = std::uint64_t{ 4 } * 1024 * 1024;
/** What is received and not yet parsed: a head, or what frames a chunk, must fit into it. */
constexpr std::size_t kLargestUnparsedBytes = std::size_t{ 128 } * 1024;
constexpr std::uint32_t kLargestHeadBytes = std::uint32_t{ 16 } * 1024;
constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

HttpReply
Fail(HttpClientError aError)
{
  HttpReply reply;
  reply.error = aError;
  return reply;
}

HttpClientError
ReadErrorOf(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return HttpClientError::TimedOut;
  }
  const bool isParseError =
    aError.category() == http::make_error_code(http::error::bad_version).category();
  const bool isEnd = aError == http::error::end_of_stream || aError == http::error::partial_message;
  return isParseError && !isEnd ? HttpClientError::Malformed : HttpClientError::Broken;
}

http::request<http::string_body>
ToMessage(HttpRequest aRequest)
{
  http::request<http::string_body> message;
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  message.set(http::field::host, "skylarkwing");
  for (const HttpHeader& header : aRequest.headers) {
    if (beast::iequals(header.name, "host")) {
      message.set(http::field::host, header.value);
    } else {
      message.insert(header.name, header.value);
    }
  }
  message.body() = std::move(aRequest.body);
  message.prepare_payload();
  return message;
}

/** A request while it is written. */
struct RequestWrite
{
  http::request<http::string_body> message;
  std::string head;
  bool isDone = false;
  beast::error_code error;
  std::size_t written = 0;
};

HttpClientError
WriteErrorOf(const RequestWrite& aWrite)
{
  if (!aWrite.error) {
    return HttpClientError::None;
  }
  if (aWrite.error == beast::error::timeout) {
    return HttpClientError::TimedOut;
  }
  return aWrite.written == 0 ? HttpClientError::NothingSent : HttpClientError::Broken;
}

template<typename Message>
HttpResponse
ToResponse(const Message& aMessage)
{
  HttpResponse response;
  response.status = aMessage.result_int();
  response.contentType = std::string(aMessage[http::field::content_type]);
  for (const auto& field : aMessage) {
    response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  return response;
}

} // namespace

std::string_view
NameOf(HttpClientError aError)
{
  return kErrorNames.NameOf(aError);
}

/** The connection itself; an exchange keeps it alive when its owner goes away. */
struct HttpConnection::State : std::enable_shared_from_this<HttpConnection::State>
{
  explicit State(asio::any_io_executor aExecutor)
    : stream(std::move(aExecutor))
  {
  }

  beast::tcp_stream stream;
  /** Bounded, since a faulty server may send without end. */
  beast::flat_buffer buffer{ kLargestUnparsedBytes };
  std::optional<http::response_parser<http::buffer_body>> streamed;
  bool isOpen = false;

  void Close()
  {
    isOpen = false;
    beast::error_code ec;
    stream.socket().close(ec);
  }

  bool IsSpoilt();
  core::Task<HttpClientError> Send(HttpRequest aRequest, core::Duration aTimeout);
  void StartWrite(const std::shared_ptr<RequestWrite>& aWrite);
  core::Task<HttpReply> ExchangeBody(HttpRequest aRequest, core::Duration aTimeout);
  core::Task<HttpReply> ReadReply();
};

bool
HttpConnection::State::IsSpoilt()
{
  // Without a request outstanding, bytes belong to no answer: they came too late, or twice.
  if (buffer.size() > 0) {
    return true;
  }
  // Readable means closed, broken, or the same.
  beast::error_code ec;
  auto& socket = stream.socket();
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec != asio::error::would_block;
}

core::Task<HttpClientError>
HttpConnection::State::Send(HttpRequest aRequest, core::Duration aTimeout)
{
  if (!isOpen || IsSpoilt()) {
    Close();
    co_return HttpClientError::NothingSent;
  }
  RequestWrite write;
  write.message = ToMessage(std::move(aRequest));
  stream.expires_after(aTimeout);
  write.head = HeadText(write.message);
  std::tie(write.error, write.written) =
    co_await asio::async_write(stream, MessageBuffers(write.head, write.message.body()), kAsTuple);
  if (write.error) {
    Close();
  }
  co_return WriteErrorOf(write);
}

void
HttpConnection::State::StartWrite(const std::shared_ptr<RequestWrite>& aWrite)
{
  const auto buffers = MessageBuffers(aWrite->head, aWrite->message.body());
  auto onWritten = [self = shared_from_this(), write = aWrite](beast::error_code aError,
                                                               std::size_t aN) {
    write->isDone = true;
    write->error = aError;
    write->written = aN;
    if (aError && aN == 0) {
      // No answer can come to a request of which nothing was sent.
      self->Close();
    }
  };
  asio::async_write(stream, buffers, std::move(onWritten));
}

/**
 * Writes a request with a body while its answer is read: a server may answer before it has read the
 * body, and never read on. The connection isn't used again with a part of a body still due.
 */
core::Task<HttpReply>
HttpConnection::State::ExchangeBody(HttpRequest aRequest, core::Duration aTimeout)
{
  if (!isOpen || IsSpoilt()) {
    Close();
    co_return Fail(HttpClientError::NothingSent);
  }
  const auto write = std::make_shared<RequestWrite>();
  write->message = ToMessage(std::move(aRequest));
  write->head = HeadText(write->message);
  stream.expires_after(aTimeout);
  StartWrite(write);
  HttpReply reply = co_await ReadReply();
  if (reply.error != HttpClientError::None && write->isDone && write->error) {
    reply.error = WriteErrorOf(*write);
  }
  if (!write->isDone || write->error) {
    Close();
  }
  while (!write->isDone) {
    // The write was cancelled above; its handler is queued already.
    co_await asio::post(stream.get_executor(), asio::use_awaitable);
  }
  co_return reply;
}

core::Task<HttpReply>
HttpConnection::State::ReadReply()
{
  http::response_parser<http::string_body> parser;
  parser.header_limit(kLargestHeadBytes);
  parser.body_limit(kLargestAnswerBytes);
  const auto [ec, n] = co_await http::async_read(stream, buffer, parser, kAsTuple);
  if (ec) {
    Close();
    co_return Fail(ReadErrorOf(ec));
  }
  if (!parser.get().keep_alive()) {
    Close();
  }
  HttpReply reply;
  reply.response = ToResponse(parser.get());
  reply.response.body = std::move(parser.get().body());
  co_return reply;
}

HttpConnection::HttpConnection(asio::any_io_executor aExecutor)
  : mState(std::make_shared<State>(std::move(aExecutor)))
{
}

HttpConnection::~HttpConnection()
{
  mState->Close();
}

core::Task<bool>
HttpConnection::Connect(std::string aAddress, core::Duration aTimeout)
{
  const auto state = mState;
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return false;
  }
  state->buffer.clear();
  state->stream.expires_after(aTimeout);
  const auto [ec] = co_await state->stream.async_connect(*endpoint, kAsTuple);
  if (ec) {
    state->Close();
    co_return false;
  }
  beast::error_code ignored;
  state->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  state->isOpen = true;
  co_return true;
}

core::Task<HttpReply>
HttpConnection::Exchange(HttpRequest aRequest, core::Duration aTimeout)
{
  const auto state = mState;
  if (!aRequest.body.empty()) {
    co_return co_await state->ExchangeBody(std::move(aRequest), aTimeout);
  }
  const HttpClientError sendError = co_await state->Send(std::move(aRequest), aTimeout);
  if (sendError != HttpClientError::None) {
    co_return Fail(sendError);
  }
  co_return co_await state->ReadReply();
}

core::Task<HttpReply>
HttpConnection::ReadNext(core::Duration aTimeout)
{
  const auto state = mState;
  if (!state->isOpen) {
    co_return Fail(HttpClientError::Broken);
  }
  state->stream.expires_after(aTimeout);
  co_return co_await state->ReadReply();
}

core::Task<HttpReply>
HttpConnection::OpenStream(HttpRequest aRequest, core::Duration aTimeout)
{
  const auto state = mState;
  const HttpClientError sendError = co_await state->Send(std::move(aRequest), aTimeout);
  if (sendError != HttpClientError::None) {
    co_return Fail(sendError);
  }
  state->streamed.emplace();
  state->streamed->body_limit(boost::none);
  const auto [ec, n] =
    co_await http::async_read_header(state->stream, state->buffer, *state->streamed, kAsTuple);
  if (ec) {
    state->Close();
    co_return Fail(ReadErrorOf(ec));
  }
  HttpReply reply;
  reply.response = ToResponse(state->streamed->get());
  co_return reply;
}

core::Task<std::optional<std::string>>
HttpConnection::ReadPiece(core::Duration aTimeout)
{
  const auto state = mState;
  if (!state->streamed || state->streamed->is_done()) {
    co_return std::nullopt;
  }
  std::string piece(kPieceBytes, '\0');
  auto& body = state->streamed->get().body();
  body.data = piece.data();
  body.size = piece.size();
  body.more = true;
  state->stream.expires_after(aTimeout);
  const auto [ec, n] =
    co_await http::async_read_some(state->stream, state->buffer, *state->streamed, kAsTuple);
  if (ec && ec != http::error::need_buffer) {
    state->Close();
    co_return std::nullopt;
  }
  piece.resize(piece.size() - body.size);
  co_return piece;
}

bool
HttpConnection::IsOpen() const
{
  return mState->isOpen;
}

void
HttpConnection::Close()
{
  mState->Close();
}

HttpLinkFactory
MakeTcpLinkFactory(asio::any_io_executor aExecutor)
{
  return [executor = std::move(aExecutor)] { return std::make_shared<HttpConnection>(executor); };
}

} // namespace skylarkwing::net
