#include "net/http_client.h"

#include "core/name_table.h"
#include "net/endpoint.h"
#include "net/http_reading.h"
#include "net/http_serialization.h"
#include "net/socket_queues.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace skylarkwing::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr core::NameTable<HttpClientError, 8> kErrorNames{ { "none",
                                                             "connect_failed",
                                                             "nothing_sent",
                                                             "broken",
                                                             "timed_out",
                                                             "malformed",
                                                             "not_enough_memory",
                                                             "invalid_request" } };
/** Far above any expected body: the store sends at most 1 MB in base64. */
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 4 } * 1024 * 1024;
/** Buffer for received, unparsed data; must hold a header or the framing of a chunk. */
constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 128 } * 1024;
constexpr std::uint32_t kMaxHeaderBytes = std::uint32_t{ 16 } * 1024;
/** Interim responses that are skipped before a final one. */
constexpr int kMaxInterimResponses = 8;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastFinalStatus = 599;
constexpr unsigned kFirstInterimStatus = 100;
constexpr std::size_t kReadSomeBytes = std::size_t{ 64 } * 1024;

/** A response of this size or less doesn't wait, because ordinary ones are as small. */
constexpr std::size_t kOrdinaryResponseBytes = std::size_t{ 64 } * 1024;
/** One of this size or less doesn't wait even when the budget is exceeded. */
constexpr std::size_t kSmallResponseBytes = std::size_t{ 4 } * 1024;
/** How often a response that waits for memory asks again; stalled clients are closed meanwhile. */
constexpr core::Duration kMemoryPause = std::chrono::milliseconds{ 20 };

/** A request body of this size or less is written at once, because ordinary ones are as small. */
constexpr std::size_t kOrdinaryRequestBytes = std::size_t{ 16 } * 1024;
/** Larger ones are written in pieces of this size, each when there is memory for it. */
constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;
/** A piece of this size is written also without memory, once the last one was received. */
constexpr std::size_t kSmallPieceBytes = std::size_t{ 4 } * 1024;
/** How often it is looked at how much of such a request the server has received. */
constexpr core::Duration kDeliveryPause = std::chrono::milliseconds{ 20 };

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

HttpResult
Failure(HttpClientError aError)
{
  HttpResult result;
  result.error = aError;
  return result;
}

HttpClientError
ToReadError(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return HttpClientError::TimedOut;
  }
  if (aError == asio::error::no_memory) {
    return HttpClientError::NotEnoughMemory;
  }
  const bool isParseError =
    aError.category() == http::make_error_code(http::error::bad_version).category();
  const bool isEndOfStream =
    aError == http::error::end_of_stream || aError == http::error::partial_message;
  return isParseError && !isEndOfStream ? HttpClientError::Malformed : HttpClientError::Broken;
}

/** @return the body of a request; empty if it has none. */
std::shared_ptr<const std::string>
TakeBody(HttpRequest& aRequest)
{
  return aRequest.sharedBody ? std::move(aRequest.sharedBody)
                             : std::make_shared<const std::string>(std::move(aRequest.body));
}

/** @return the serialized head of a request with a body of a number of bytes. */
std::string
MakeHead(const HttpRequest& aRequest, std::size_t aBodyBytes)
{
  http::request<http::empty_body> message;
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
  message.prepare_payload();
  if (aBodyBytes > 0) {
    message.content_length(aBodyBytes);
  }
  return SerializeHead(message);
}

/** State of a request that is being written. */
struct RequestWrite
{
  RequestWrite(const asio::any_io_executor& aExecutor, HttpRequest aRequest)
    : body(TakeBody(aRequest))
    , head(MakeHead(aRequest, body->size()))
    , pause(aExecutor)
  {
  }

  /** Ends the write with the first error, or when all is written. */
  void SetDone(beast::error_code aError)
  {
    isDone = true;
    error = aError;
    body.reset();
    head = {};
  }

  std::shared_ptr<const std::string> body;
  std::string head;
  /** Runs while the write waits for the server. */
  asio::steady_timer pause;
  bool isDone = false;
  /** Whether the exchange has ended. */
  bool isOver = false;
  beast::error_code error;
  std::size_t written = 0;
};

HttpClientError
ToWriteError(const RequestWrite& aWrite)
{
  if (!aWrite.error) {
    return HttpClientError::None;
  }
  if (aWrite.error == beast::error::timeout) {
    return HttpClientError::TimedOut;
  }
  return aWrite.written == 0 ? HttpClientError::NothingSent : HttpClientError::Broken;
}

/** @return whether the body is sent in a coding that hides its length, or that isn't decoded here.
 */
template<typename Message>
bool
HasUnknownTransferCoding(const Message& aMessage)
{
  return aMessage.count(http::field::transfer_encoding) > 0 &&
         !IsChunkedOnly(aMessage, http::field::transfer_encoding);
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

/** Connection state; a running exchange keeps it alive when its owner is destroyed. */
struct TcpHttpConnection::State : std::enable_shared_from_this<TcpHttpConnection::State>
{
  State(asio::any_io_executor aExecutor, std::shared_ptr<MemoryBudget> aBudget)
    : stream(std::move(aExecutor))
    , budget(std::move(aBudget))
  {
  }

  beast::tcp_stream stream;
  /** Null for no limit. */
  std::shared_ptr<MemoryBudget> budget;
  /** Limit of the request that runs; null for none of its own. */
  std::shared_ptr<MemoryWaitLimit> waitLimit;
  /** When the response must have been read. */
  core::TimePoint deadline;
  /** Limited in size, because a faulty server may send endless data. */
  beast::flat_buffer buffer{ kMaxUnparsedBytes };
  std::optional<http::response_parser<http::buffer_body>> streamed;
  bool isOpen = false;
  /** Whether the responses have no body, because the last request was HEAD. */
  bool isHead = false;
  /** Whether a request was sent whose response has not been read completely. */
  bool isAwaitingResponse = false;

  void Close()
  {
    if (isOpen && !isAwaitingResponse) {
      SetResetOnClose(false);
    }
    isOpen = false;
    beast::error_code ec;
    stream.socket().close(ec);
  }

  /**
   * Sets whether closing the connection resets it. A reset discards what has not arrived yet, which
   * a server behind a cut would otherwise get, and run, when the cut ends.
   */
  void SetResetOnClose(bool aIsReset)
  {
    beast::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(aIsReset, 0), ignored);
  }

  bool HasUnexpectedData();
  core::Task<HttpClientError> Send(HttpRequest aRequest, core::Duration aTimeout);
  void StartWrite(const std::shared_ptr<RequestWrite>& aWrite);
  core::Task<void> WriteInPieces(std::shared_ptr<State> aSelf,
                                 std::shared_ptr<RequestWrite> aWrite);
  core::Task<beast::error_code> WritePieces(RequestWrite& aWrite, MemoryReservation& aMemory);
  core::Task<HttpResult> ExchangeWithBody(HttpRequest aRequest, core::Duration aTimeout);
  core::Task<HttpResult> ReadResponse();
  core::Task<HttpResult> ReadOneResponse();
  core::Task<beast::error_code> Reserve(MemoryReservation& aMemory, std::size_t aBytes);
  void ExpireAfter(core::Duration aTimeout)
  {
    deadline = std::chrono::steady_clock::now() + aTimeout;
    stream.expires_after(aTimeout);
  }
};

bool
TcpHttpConnection::State::HasUnexpectedData()
{
  // Without a pending request, received bytes are a late or duplicate response.
  if (buffer.size() > 0) {
    return true;
  }
  // Readable means that the connection was closed or lost, or has received such bytes.
  beast::error_code ec;
  auto& socket = stream.socket();
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec != asio::error::would_block;
}

core::Task<HttpClientError>
TcpHttpConnection::State::Send(HttpRequest aRequest, core::Duration aTimeout)
{
  if (!isOpen || HasUnexpectedData()) {
    Close();
    co_return HttpClientError::NothingSent;
  }
  isAwaitingResponse = true;
  isHead = aRequest.method == "HEAD";
  waitLimit = aRequest.memoryWaitLimit;
  RequestWrite write(stream.get_executor(), std::move(aRequest));
  ExpireAfter(aTimeout);
  std::tie(write.error, write.written) =
    co_await asio::async_write(stream, MessageBuffers(write.head, *write.body), kAsTuple);
  if (write.error) {
    Close();
  }
  co_return ToWriteError(write);
}

void
TcpHttpConnection::State::StartWrite(const std::shared_ptr<RequestWrite>& aWrite)
{
  const auto buffers = MessageBuffers(aWrite->head, *aWrite->body);
  auto onWritten = [self = shared_from_this(), write = aWrite](beast::error_code aError,
                                                               std::size_t aBytes) {
    write->written = aBytes;
    write->SetDone(aError);
    if (aError && aBytes == 0) {
      // Nothing was sent, so there will be no response.
      self->Close();
    }
  };
  asio::async_write(stream, buffers, std::move(onWritten));
}

/**
 * Writes a request in pieces, and counts what the kernel has to send of it: many large requests to
 * servers that read slowly would take far more memory than their bodies, which they share.
 */
core::Task<void>
TcpHttpConnection::State::WriteInPieces([[maybe_unused]] std::shared_ptr<State> aSelf,
                                        std::shared_ptr<RequestWrite> aWrite)
{
  MemoryReservation memory(budget, MemoryUse::Request);
  const beast::error_code ec = co_await WritePieces(*aWrite, memory);
  aWrite->SetDone(ec);
  if (ec && aWrite->written == 0) {
    Close();
  }
  while (!ec && !aWrite->isOver) {
    memory.ForceResize(UnsentBytes(stream.socket()));
    if (memory.Bytes() == 0) {
      co_return;
    }
    aWrite->pause.expires_after(kDeliveryPause);
    co_await aWrite->pause.async_wait(kAsTuple);
  }
}

core::Task<beast::error_code>
TcpHttpConnection::State::WritePieces(RequestWrite& aWrite, MemoryReservation& aMemory)
{
  beast::buffers_suffix<std::array<asio::const_buffer, 2>> rest(
    MessageBuffers(aWrite.head, *aWrite.body));
  std::size_t size = aWrite.head.size() + aWrite.body->size();
  while (size > 0) {
    if (!isOpen || aWrite.isOver) {
      co_return asio::error::operation_aborted;
    }
    const std::size_t unsent = UnsentBytes(stream.socket());
    std::size_t piece = std::min(size, kPieceBytes);
    if (!aMemory.Resize(unsent + piece)) {
      if (unsent > 0) {
        aMemory.ForceResize(unsent);
        aWrite.pause.expires_after(kDeliveryPause);
        co_await aWrite.pause.async_wait(kAsTuple);
        continue;
      }
      piece = std::min(size, kSmallPieceBytes);
      aMemory.ForceResize(piece);
    }
    const auto [ec, n] =
      co_await stream.async_write_some(beast::buffers_prefix(piece, rest), kAsTuple);
    aWrite.written += n;
    if (ec) {
      co_return ec;
    }
    rest.consume(n);
    size -= n;
  }
  co_return beast::error_code();
}

/**
 * Writes a request with a body while reading the response: a server may respond before it has read
 * the body, and may never read the rest. In that case the connection is not reused.
 */
core::Task<HttpResult>
TcpHttpConnection::State::ExchangeWithBody(HttpRequest aRequest, core::Duration aTimeout)
{
  if (!isOpen || HasUnexpectedData()) {
    Close();
    co_return Failure(HttpClientError::NothingSent);
  }
  isAwaitingResponse = true;
  isHead = aRequest.method == "HEAD";
  waitLimit = aRequest.memoryWaitLimit;
  const auto write = std::make_shared<RequestWrite>(stream.get_executor(), std::move(aRequest));
  ExpireAfter(aTimeout);
  if (budget && write->body->size() > kOrdinaryRequestBytes) {
    core::Start(stream.get_executor(), WriteInPieces(shared_from_this(), write));
  } else {
    StartWrite(write);
  }
  HttpResult result = co_await ReadResponse();
  if (result.error != HttpClientError::None && write->isDone && write->error) {
    result.error = ToWriteError(*write);
  }
  if (!write->isDone || write->error) {
    isAwaitingResponse = true;
    Close();
  }
  write->isOver = true;
  write->pause.cancel();
  while (!write->isDone) {
    // Close() has cancelled the write, and its handler is already queued.
    co_await asio::post(stream.get_executor(), asio::use_awaitable);
  }
  co_return result;
}

core::Task<HttpResult>
TcpHttpConnection::State::ReadResponse()
{
  for (int n = 0; n <= kMaxInterimResponses; ++n) {
    HttpResult result = co_await ReadOneResponse();
    const unsigned status = result.response.status;
    if (result.error != HttpClientError::None ||
        (status >= kFirstFinalStatus && status <= kLastFinalStatus)) {
      co_return result;
    }
    if (status < kFirstInterimStatus || status >= kFirstFinalStatus) {
      break;
    }
    if (!isOpen) {
      co_return Failure(HttpClientError::Broken);
    }
    isAwaitingResponse = true;
  }
  isAwaitingResponse = true;
  Close();
  co_return Failure(HttpClientError::Malformed);
}

/**
 * Waits for memory, which comes when stalled clients are closed. If enough responses wait already,
 * or the time is over, the response is dropped.
 */
core::Task<beast::error_code>
TcpHttpConnection::State::Reserve(MemoryReservation& aMemory, std::size_t aBytes)
{
  const bool isExceeded = budget->UsedBytes() > budget->TotalBytes();
  if (aBytes <= (isExceeded ? kSmallResponseBytes : kOrdinaryResponseBytes)) {
    aMemory.ForceResize(aBytes);
    co_return beast::error_code();
  }
  if (aMemory.Resize(aBytes)) {
    co_return beast::error_code();
  }
  const MemoryWait wait(*budget, waitLimit);
  asio::steady_timer timer(stream.get_executor());
  while (!aMemory.Resize(aBytes)) {
    if (!isOpen) {
      co_return asio::error::operation_aborted;
    }
    if (!wait.IsAllowed() || std::chrono::steady_clock::now() >= deadline) {
      co_return asio::error::no_memory;
    }
    timer.expires_after(kMemoryPause);
    co_await timer.async_wait(kAsTuple);
  }
  co_return beast::error_code();
}

core::Task<HttpResult>
TcpHttpConnection::State::ReadOneResponse()
{
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(kMaxBodyBytes);
  parser.skip(isHead);
  const auto memory =
    budget ? std::make_shared<MemoryReservation>(budget, MemoryUse::Answer) : nullptr;
  const auto mayRead = [&](const MessageMemory& aUse) -> core::Task<beast::error_code> {
    if (!memory) {
      co_return beast::error_code();
    }
    co_return co_await Reserve(*memory, aUse.bodyBytes);
  };
  const beast::error_code ec = co_await ReadMessage(stream, buffer, parser, mayRead, [] {});
  if (ec) {
    Close();
    co_return Failure(ToReadError(ec));
  }
  if (HasUnknownTransferCoding(parser.get())) {
    Close();
    co_return Failure(HttpClientError::Malformed);
  }
  isAwaitingResponse = false;
  if (!parser.get().keep_alive()) {
    Close();
  }
  HttpResult result;
  result.response = ToResponse(parser.get());
  result.response.body = std::move(parser.get().body());
  result.response.memory = memory;
  co_return result;
}

TcpHttpConnection::TcpHttpConnection(asio::any_io_executor aExecutor,
                                     std::shared_ptr<MemoryBudget> aBudget)
  : mState(std::make_shared<State>(std::move(aExecutor), std::move(aBudget)))
{
}

TcpHttpConnection::~TcpHttpConnection()
{
  mState->Close();
}

core::Task<bool>
TcpHttpConnection::Connect(std::string aAddress, core::Duration aTimeout)
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
  // A timeout closes the socket in the stream, so that the option is set beforehand.
  state->SetResetOnClose(true);
  state->isOpen = true;
  state->isAwaitingResponse = false;
  co_return true;
}

core::Task<HttpResult>
TcpHttpConnection::Exchange(HttpRequest aRequest, core::Duration aTimeout)
{
  const auto state = mState;
  if (!IsWritable(aRequest)) {
    co_return Failure(HttpClientError::InvalidRequest);
  }
  if (!aRequest.body.empty() || (aRequest.sharedBody && !aRequest.sharedBody->empty())) {
    co_return co_await state->ExchangeWithBody(std::move(aRequest), aTimeout);
  }
  const HttpClientError sendError = co_await state->Send(std::move(aRequest), aTimeout);
  if (sendError != HttpClientError::None) {
    co_return Failure(sendError);
  }
  co_return co_await state->ReadResponse();
}

core::Task<HttpResult>
TcpHttpConnection::ReadNext(core::Duration aTimeout)
{
  const auto state = mState;
  if (!state->isOpen) {
    co_return Failure(HttpClientError::Broken);
  }
  state->isAwaitingResponse = true;
  state->ExpireAfter(aTimeout);
  co_return co_await state->ReadResponse();
}

core::Task<HttpResult>
TcpHttpConnection::OpenStream(HttpRequest aRequest, core::Duration aTimeout)
{
  const auto state = mState;
  if (!IsWritable(aRequest)) {
    co_return Failure(HttpClientError::InvalidRequest);
  }
  const HttpClientError sendError = co_await state->Send(std::move(aRequest), aTimeout);
  if (sendError != HttpClientError::None) {
    co_return Failure(sendError);
  }
  state->streamed.emplace();
  state->streamed->body_limit(boost::none);
  const auto [ec, n] =
    co_await http::async_read_header(state->stream, state->buffer, *state->streamed, kAsTuple);
  if (ec) {
    state->Close();
    co_return Failure(ToReadError(ec));
  }
  HttpResult result;
  result.response = ToResponse(state->streamed->get());
  co_return result;
}

core::Task<std::optional<std::string>>
TcpHttpConnection::ReadSome(core::Duration aTimeout)
{
  const auto state = mState;
  if (!state->streamed || state->streamed->is_done()) {
    co_return std::nullopt;
  }
  std::string data(kReadSomeBytes, '\0');
  auto& body = state->streamed->get().body();
  body.data = data.data();
  body.size = data.size();
  body.more = true;
  state->stream.expires_after(aTimeout);
  const auto [ec, n] =
    co_await http::async_read_some(state->stream, state->buffer, *state->streamed, kAsTuple);
  if (ec && ec != http::error::need_buffer) {
    state->Close();
    co_return std::nullopt;
  }
  data.resize(data.size() - body.size);
  state->isAwaitingResponse = !state->streamed->is_done();
  co_return data;
}

bool
TcpHttpConnection::IsOpen() const
{
  return mState->isOpen;
}

void
TcpHttpConnection::Close()
{
  mState->Close();
}

HttpConnectionFactory
MakeTcpHttpConnectionFactory(asio::any_io_executor aExecutor, std::shared_ptr<MemoryBudget> aBudget)
{
  return [executor = std::move(aExecutor), budget = std::move(aBudget)] {
    return std::make_shared<TcpHttpConnection>(executor, budget);
  };
}

} // namespace skylarkwing::net
