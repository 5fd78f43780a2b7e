#include "net/http_server.h"

#include "core/log.h"
#include "core/name_table.h"
#include "net/connection_limits.h"
#include "net/endpoint.h"
#include "net/http_reading.h"
#include "net/http_serialization.h"
#include "net/socket_queues.h"
#include "net/socket_watch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <utility>

namespace skylarkwing::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr core::NameTable<HttpRequestError, 6> kErrorNames{ { "malformed",
                                                              "header_too_large",
                                                              "body_too_large",
                                                              "too_slow",
                                                              "too_many_connections",
                                                              "not_enough_memory" } };
/**
 * Size of the first read, which usually gets the complete request. Idle connections hold a buffer
 * of this size, so that thousands of them need little.
 */
constexpr std::size_t kFirstReadBytes = std::size_t{ 4 } * 1024;
/** Longer bodies are counted twice while they are handled: attempts have written them, too. */
constexpr std::size_t kSmallBodyBytes = std::size_t{ 4 } * 1024;
/** Memory of a field of a request besides its text, in the parser and in an HttpRequest. */
constexpr std::size_t kFieldBytes = 256;
/** Fields that take more are counted twice while they are handled: each attempt has a copy. */
constexpr std::size_t kSmallFieldBytes = std::size_t{ 8 } * 1024;
/** Bytes in the kernel's queue of a connection that are part of what each connection takes. */
constexpr std::size_t kSmallQueueBytes = std::size_t{ 4 } * 1024;
/** Refused connections that get an answer; beyond them, the oldest that has it is closed. */
constexpr std::size_t kMaxRefusing = 16;
/** Part of the memory for clients that connections may hold before they are accepted. */
constexpr std::size_t kQueueParts = 2;
constexpr core::Duration kAcceptRetryDelay = std::chrono::milliseconds{ 20 };
constexpr core::Duration kRefusalPause = std::chrono::milliseconds{ 1 };
constexpr core::Duration kStreamWriteTimeout = std::chrono::seconds{ 30 };
constexpr std::size_t kLingerReadBytes = std::size_t{ 4 } * 1024;
/** How often it is looked at how much of an answer a client has received. */
constexpr core::Duration kDrainInterval = std::chrono::milliseconds{ 100 };
constexpr core::Duration kLingerTimeout = std::chrono::milliseconds{ 500 };

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

using Parser = http::request_parser<http::string_body>;

/** Sends a streamed response with chunked transfer encoding. */
class ChunkStream : public HttpStream
{
public:
  explicit ChunkStream(beast::tcp_stream& aStream)
    : mStream(aStream)
  {
  }

  core::Task<bool> Write(std::string aData) override
  {
    mStream.expires_after(kStreamWriteTimeout);
    const auto chunk = http::make_chunk(asio::buffer(aData));
    const auto [ec, n] = co_await asio::async_write(mStream, chunk, kAsTuple);
    co_return !ec;
  }

private:
  beast::tcp_stream& mStream;
};

/** @return the head of a request, whose trailers are left out. */
HttpRequest
ToRequestHead(const Parser& aParser)
{
  const auto& message = aParser.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  return request;
}

/** @return the memory that the fields of a request take in the parser and in an HttpRequest. */
std::size_t
FieldBytesOf(const HttpRequest& aRequest)
{
  std::size_t bytes = 0;
  for (const HttpHeader& header : aRequest.headers) {
    bytes += kFieldBytes + 2 * (header.name.size() + header.value.size());
  }
  return bytes;
}

/** @return whether the end of a request isn't certain, so that its body may pass for a request. */
bool
HasInvalidFraming(const Parser& aParser, const HttpRequest& aRequest)
{
  const auto& message = aParser.get();
  const bool hasCoding = message.count(http::field::transfer_encoding) > 0;
  if (hasCoding && (message.version() < 11 || message.count(http::field::content_length) > 0 ||
                    !IsChunkedOnly(message, http::field::transfer_encoding))) {
    return true;
  }
  // A TRACE request has no body, and none can be sent with one.
  return message.method() == http::verb::trace && !aRequest.body.empty();
}

/** Counts a request while it is in scope. */
class ActiveRequest
{
public:
  explicit ActiveRequest(std::size_t& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;
  ~ActiveRequest() { --mCount; }

private:
  std::size_t& mCount;
};

template<typename Body>
void
FillHeader(http::response<Body>& aMessage, const HttpResponse& aResponse, bool aKeepAlive)
{
  if (!aResponse.contentType.empty()) {
    aMessage.set(http::field::content_type, aResponse.contentType);
  }
  for (const HttpHeader& header : aResponse.headers) {
    aMessage.insert(header.name, header.value);
  }
  aMessage.keep_alive(aKeepAlive);
}

HttpRequestError
ToRequestError(const beast::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return HttpRequestError::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return HttpRequestError::BodyTooLarge;
  }
  if (aError == beast::error::timeout) {
    return HttpRequestError::TooSlow;
  }
  if (aError == asio::error::no_memory) {
    return HttpRequestError::NotEnoughMemory;
  }
  return HttpRequestError::Malformed;
}

unsigned
ToStatus(HttpRequestError aError)
{
  switch (aError) {
    case HttpRequestError::HeaderTooLarge:
      return static_cast<unsigned>(http::status::request_header_fields_too_large);
    case HttpRequestError::BodyTooLarge:
      return static_cast<unsigned>(http::status::payload_too_large);
    case HttpRequestError::TooSlow:
      return static_cast<unsigned>(http::status::request_timeout);
    case HttpRequestError::TooManyConnections:
    case HttpRequestError::NotEnoughMemory:
      return static_cast<unsigned>(http::status::service_unavailable);
    case HttpRequestError::Malformed:
      break;
  }
  return static_cast<unsigned>(http::status::bad_request);
}

/**
 * Cancels the pending operation of a stream after a timeout. The stream's own timeout would close
 * it before an error response could be sent.
 */
void
CancelAfter(asio::steady_timer& aTimer,
            core::Duration aDelay,
            const std::shared_ptr<beast::tcp_stream>& aStream,
            const std::shared_ptr<bool>& aIsTimedOut)
{
  aTimer.expires_after(aDelay);
  aTimer.async_wait([stream = aStream, isTimedOut = aIsTimedOut](const beast::error_code& aError) {
    if (!aError) {
      *isTimedOut = true;
      stream->cancel();
    }
  });
}

bool
IsDisconnect(const beast::error_code& aError)
{
  return aError == http::error::end_of_stream || aError == asio::error::connection_reset ||
         aError == asio::error::operation_aborted || aError == asio::error::bad_descriptor ||
         aError == asio::error::broken_pipe || aError == asio::error::timed_out;
}

} // namespace

std::string_view
NameOf(HttpRequestError aError)
{
  return kErrorNames.NameOf(aError);
}

/** State shared by the server's tasks; it lives until the last of them ends. */
struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  State(asio::io_context& aLoop, HttpServerLimits aLimits, HttpHandler aHandler)
    : loop(aLoop)
    , limits(aLimits)
    , handler(std::move(aHandler))
    , acceptor(aLoop)
  {
  }

  asio::io_context& loop;
  HttpServerLimits limits;
  HttpHandler handler;
  HttpErrorHandler errorHandler;
  asio::ip::tcp::acceptor acceptor;
  /** An open connection. */
  struct Connection
  {
    Connection(std::uint64_t aId,
               asio::ip::tcp::socket aSocket,
               std::shared_ptr<MemoryBudget> aBudget,
               ClientQueue::Handle aClient)
      : id(aId)
      , stream(std::make_shared<beast::tcp_stream>(std::move(aSocket)))
      , memory(aBudget, MemoryUse::Request)
      , unread(aBudget, MemoryUse::Request)
      , unsent(std::move(aBudget), MemoryUse::Answer)
      , client(aClient)
    {
    }

    std::uint64_t id;
    std::shared_ptr<beast::tcp_stream> stream;
    MemoryReservation memory;
    /** The memory of what the kernel has received behind the request that is handled. */
    MemoryReservation unread;
    /** The memory of what the kernel has to send; none while that is little. */
    MemoryReservation unsent;
    /** Bytes that were written since the kernel had little to send. */
    std::size_t written = 0;
    /** When the client last received something of it. */
    core::TimePoint receivedAt;
    /** Monitors the socket while a request is handled; null at other times. */
    std::shared_ptr<SocketWatch> watch;
    /** The memory of the answer that is sent; null for short ones. */
    std::shared_ptr<MemoryReservation> answer;
    ClientQueue::Handle client;
    /** Whether a request is being received, handled or answered. */
    bool isBusy = false;
    /** Whether it was refused when it was accepted. */
    bool isRefused = false;
    /** Whether it was closed for want of progress; its task ends soon. */
    bool isGivenUp = false;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  std::unordered_map<std::uint64_t, ConnectionPointer> connections;
  std::shared_ptr<MemoryBudget> budget;
  ClientQueue clients;
  HttpClosureHandler closureHandler;
  std::uint64_t lastConnectionId = 0;
  std::size_t refusing = 0;
  std::size_t givenUp = 0;
  std::size_t active = 0;
  bool isClosing = false;
  bool isClosed = false;

  core::Task<void> Accept(std::shared_ptr<State> aSelf);
  core::Task<void> AwaitRefusals();
  bool IsQueueFull();
  void RefuseAtOnce();
  HttpResponse MakeRejection(HttpRequestError aError) const;
  void Admit(asio::ip::tcp::socket aSocket);
  std::optional<HttpRequestError> RefuseNewcomer(Connection& aConnection);
  bool CloseStalled();
  bool CloseStalled(MemoryUse aUse);
  bool GiveUp(std::optional<std::uint64_t> aId);
  core::Task<void> ServeAll(ConnectionPointer aConnection,
                            std::optional<HttpRequestError> aRefusal,
                            std::string aClientAddress);
  core::Task<void> Serve(std::shared_ptr<State> aSelf,
                         ConnectionPointer aConnection,
                         std::optional<HttpRequestError> aRefusal);
  core::Task<bool> ServeOne(ConnectionPointer aConnection,
                            std::shared_ptr<beast::flat_buffer> aBuffer,
                            std::string aClientAddress);
  core::Task<bool> Answer(ConnectionPointer aConnection, HttpRequest aRequest, bool aKeepAlive);
  core::Task<HttpResponse> Handle(ConnectionPointer aConnection, HttpRequest aRequest);
  void WatchClient(const ConnectionPointer& aConnection);
  void CountUnread(Connection& aConnection, std::size_t aBytes);
  core::Task<beast::error_code> Read(ConnectionPointer aConnection,
                                     beast::flat_buffer& aBuffer,
                                     Parser& aParser,
                                     HttpRequest& aRequest);
  bool ReserveForHandling(Connection& aConnection,
                          const beast::flat_buffer& aBuffer,
                          const HttpRequest& aRequest);
  core::Task<beast::error_code> AwaitFirstByte(ConnectionPointer aConnection,
                                               beast::flat_buffer& aBuffer);
  void CountUnsent(Connection& aConnection);
  bool ResetIfStopped(Connection& aConnection);
  core::Task<void> AwaitDelivery(ConnectionPointer aConnection);
  void SetPhase(Connection& aConnection, ClientPhase aPhase);
  std::size_t Charge(std::size_t aBytes) const;
  core::Task<bool> Respond(Connection& aConnection,
                           HttpResponse aResponse,
                           bool aKeepAlive,
                           bool aIsHead = false);
  core::Task<beast::error_code> Write(Connection& aConnection,
                                      const std::string& aHead,
                                      const std::string& aBody);
  core::Task<bool> RespondStreamed(beast::tcp_stream& aStream, HttpResponse aResponse);
  core::Task<void> Refuse(Connection& aConnection, HttpRequestError aError);
  core::Task<void> RejectAndLinger(Connection& aConnection, HttpRequestError aError);
};

core::Task<void>
HttpServer::State::Accept([[maybe_unused]] std::shared_ptr<State> aSelf)
{
  while (acceptor.is_open()) {
    auto [ec, socket] = co_await acceptor.async_accept(kAsTuple);
    if (ec == asio::error::operation_aborted || !acceptor.is_open()) {
      co_return;
    }
    if (ec) {
      // For example out of file descriptors; an immediate retry would be a busy loop.
      asio::steady_timer pause(loop, kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    Admit(std::move(socket));
    co_await AwaitRefusals();
  }
}

/**
 * Waits until a refused connection may take the place of another one, which has its answer.
 * Connections that are not accepted meanwhile hold memory in the kernel.
 */
core::Task<void>
HttpServer::State::AwaitRefusals()
{
  asio::steady_timer pause(loop);
  while (limits.closeStalled && refusing > kMaxRefusing &&
         !GiveUp(clients.NextRefused(std::chrono::steady_clock::now()))) {
    const bool mayWait = limits.refusalWait > core::Duration::zero() && !IsQueueFull();
    if (!mayWait) {
      RefuseAtOnce();
      co_return;
    }
    pause.expires_after(kRefusalPause);
    co_await pause.async_wait(kAsTuple);
  }
}

/** @return whether the connections that wait to be accepted may hold their share of the memory. */
bool
HttpServer::State::IsQueueFull()
{
  return budget && QueuedConnections(acceptor) * 2 * limits.receiveBufferBytes >
                     budget->TotalBytes() / kQueueParts;
}

/** Answers the connection that was refused first, and closes it. */
void
HttpServer::State::RefuseAtOnce()
{
  const auto id = clients.NextRefusing(std::chrono::steady_clock::now());
  if (!id) {
    return;
  }
  const HttpResponse response = MakeRejection(HttpRequestError::TooManyConnections);
  http::response<http::string_body> message;
  message.result(response.status);
  FillHeader(message, response, false);
  message.body() = response.body;
  message.prepare_payload();
  auto& socket = connections.at(*id)->stream->socket();
  beast::error_code ignored;
  socket.non_blocking(true, ignored);
  // The send buffer of a new connection has room for it.
  socket.write_some(MessageBuffers(SerializeHead(message), message.body()), ignored);
  GiveUp(id);
}

void
HttpServer::State::Admit(asio::ip::tcp::socket aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (limits.sendBufferBytes > 0) {
    aSocket.set_option(
      asio::socket_base::send_buffer_size(static_cast<int>(limits.sendBufferBytes)), ignored);
  }
  const std::uint64_t id = ++lastConnectionId;
  auto connection = std::make_shared<Connection>(
    id, std::move(aSocket), budget, clients.Add(id, std::chrono::steady_clock::now()));
  connections.emplace(id, connection);
  const auto refusal = RefuseNewcomer(*connection);
  if (refusal) {
    connection->isRefused = true;
    ++refusing;
    SetPhase(*connection, ClientPhase::Refusing);
  }
  core::Start(loop.get_executor(), Serve(shared_from_this(), std::move(connection), refusal));
}

std::optional<HttpRequestError>
HttpServer::State::RefuseNewcomer(Connection& aConnection)
{
  const auto isFull = [this] {
    return connections.size() - givenUp - refusing > limits.connections;
  };
  while (isFull()) {
    if (!limits.closeStalled || !CloseStalled()) {
      return HttpRequestError::TooManyConnections;
    }
  }
  // A refusal for want of memory waits for the request, which may be small enough to be served.
  aConnection.memory.ForceResize(Charge(0));
  return std::nullopt;
}

/** Closes the connection that was longest without progress. @return false if all had progress. */
bool
HttpServer::State::CloseStalled()
{
  return GiveUp(clients.Next(std::chrono::steady_clock::now()));
}

/**
 * The same for memory. Idle connections hold too little of it to make room for an answer, or none
 * that counts.
 */
bool
HttpServer::State::CloseStalled(MemoryUse aUse)
{
  return aUse == MemoryUse::Request && limits.unlimitedBytes == 0
           ? CloseStalled()
           : GiveUp(clients.NextWithMemory(std::chrono::steady_clock::now()));
}

bool
HttpServer::State::GiveUp(std::optional<std::uint64_t> aId)
{
  if (!aId) {
    return false;
  }
  Connection& connection = *connections.at(*aId);
  const ClientPhase phase = connection.client->phase;
  if (closureHandler && phase != ClientPhase::Rejected && phase != ClientPhase::Refused &&
      phase != ClientPhase::Refusing) {
    closureHandler(phase);
  }
  SetPhase(connection, ClientPhase::Handling);
  // Its task returns the memory itself, which is soon but not now.
  connection.memory.ForceResize(0);
  connection.unread.ForceResize(0);
  connection.unsent.ForceResize(0);
  if (connection.answer) {
    connection.answer->ForceResize(0);
  }
  if (UnsentBytes(connection.stream->socket()) > kSmallQueueBytes) {
    SetResetOnClose(connection.stream->socket(), true);
  }
  if (!connection.isGivenUp) {
    connection.isGivenUp = true;
    ++givenUp;
    refusing -= std::exchange(connection.isRefused, false) ? 1 : 0;
  }
  beast::error_code ignored;
  connection.stream->socket().close(ignored);
  if (const auto watch = connection.watch) {
    watch->Interrupt();
  }
  return true;
}

core::Task<void>
HttpServer::State::Serve([[maybe_unused]] std::shared_ptr<State> aSelf,
                         ConnectionPointer aConnection,
                         std::optional<HttpRequestError> aRefusal)
{
  beast::error_code ec;
  const auto remote = aConnection->stream->socket().remote_endpoint(ec);
  std::string clientAddress = ec ? std::string() : ToString(remote);
  try {
    co_await ServeAll(aConnection, aRefusal, std::move(clientAddress));
  } catch (const std::exception& error) {
    // One message that a library rejects must not end the process with all other requests.
    core::LogEvent(
      core::LogLevel::Error, "net", "connection_failed", { { "error", error.what() } });
  }
  co_await AwaitDelivery(aConnection);
  aConnection->stream->socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  aConnection->stream->close();
  refusing -= aConnection->isRefused ? 1 : 0;
  givenUp -= aConnection->isGivenUp ? 1 : 0;
  clients.Remove(aConnection->client);
  connections.erase(aConnection->id);
}

core::Task<void>
HttpServer::State::ServeAll(ConnectionPointer aConnection,
                            std::optional<HttpRequestError> aRefusal,
                            std::string aClientAddress)
{
  if (aRefusal) {
    co_await Refuse(*aConnection, *aRefusal);
    co_return;
  }
  auto buffer = std::make_shared<beast::flat_buffer>();
  bool isOpen = true;
  while (isOpen && !isClosed) {
    isOpen = co_await ServeOne(aConnection, buffer, aClientAddress);
    aConnection->isBusy = false;
  }
}

void
HttpServer::State::SetPhase(Connection& aConnection, ClientPhase aPhase)
{
  clients.SetPhase(aConnection.client, aPhase, std::chrono::steady_clock::now());
}

/** @return what a connection takes from the budget when it holds a number of bytes. */
std::size_t
HttpServer::State::Charge(std::size_t aBytes) const
{
  const std::size_t bytes = kConnectionBytes + aBytes;
  return bytes > limits.unlimitedBytes ? bytes - limits.unlimitedBytes : 0;
}

core::Task<bool>
HttpServer::State::ServeOne(ConnectionPointer aConnection,
                            std::shared_ptr<beast::flat_buffer> aBuffer,
                            std::string aClientAddress)
{
  std::optional<Parser> parser(std::in_place);
  parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
  parser->body_limit(limits.bodyBytes);
  HttpRequest request;
  const beast::error_code ec = co_await Read(aConnection, *aBuffer, *parser, request);
  if (IsDisconnect(ec) || aConnection->isGivenUp) {
    co_return false;
  }
  request.body = std::move(parser->get().body());
  request.clientAddress = aClientAddress;
  std::optional<HttpRequestError> fault;
  if (ec) {
    fault = ToRequestError(ec);
  } else if (HasInvalidFraming(*parser, request)) {
    fault = HttpRequestError::Malformed;
  } else if (!ReserveForHandling(*aConnection, *aBuffer, request)) {
    fault = HttpRequestError::NotEnoughMemory;
  }
  if (fault) {
    request = {};
    parser.reset();
    aBuffer->clear();
    aBuffer->shrink_to_fit();
    co_await RejectAndLinger(*aConnection, *fault);
    co_return false;
  }
  const bool isKeepAlive = parser->get().keep_alive();
  parser.reset();
  const bool isOpen = co_await Answer(aConnection, std::move(request), isKeepAlive);
  if (aBuffer->size() == 0 && aBuffer->capacity() > kFirstReadBytes) {
    aBuffer->shrink_to_fit();
  }
  aConnection->memory.ForceResize(Charge(0));
  if (aConnection->unsent.Bytes() == 0) {
    SetPhase(*aConnection, ClientPhase::Idle);
  }
  co_return isOpen;
}

/** @return whether there is memory for a request until it is answered; a small one needs no more.
 */
bool
HttpServer::State::ReserveForHandling(Connection& aConnection,
                                      const beast::flat_buffer& aBuffer,
                                      const HttpRequest& aRequest)
{
  const std::size_t fieldBytes = FieldBytesOf(aRequest);
  if (aRequest.body.size() <= kSmallBodyBytes && fieldBytes <= kSmallFieldBytes) {
    return true;
  }
  return aConnection.memory.Resize(
    Charge(aBuffer.capacity() + 2 * (aRequest.body.capacity() + fieldBytes)));
}

core::Task<bool>
HttpServer::State::Answer(ConnectionPointer aConnection, HttpRequest aRequest, bool aKeepAlive)
{
  const bool isHead = aRequest.method == "HEAD";
  aConnection->stream->expires_never();
  const ActiveRequest activeRequest(active);
  SetPhase(*aConnection, ClientPhase::Handling);
  HttpResponse response = co_await Handle(aConnection, std::move(aRequest));
  if (response.stream) {
    co_return co_await RespondStreamed(*aConnection->stream, std::move(response));
  }
  co_return co_await Respond(*aConnection, std::move(response), aKeepAlive && !isClosing, isHead);
}

void
HttpServer::State::WatchClient(const ConnectionPointer& aConnection)
{
  aConnection->watch = std::make_shared<SocketWatch>(
    aConnection->stream,
    [state = weak_from_this(), weak = std::weak_ptr(aConnection)](std::size_t aBytes) {
      const auto self = state.lock();
      const auto connection = weak.lock();
      if (self && connection) {
        self->CountUnread(*connection, aBytes);
      }
    });
  aConnection->watch->Start();
}

void
HttpServer::State::CountUnread(Connection& aConnection, std::size_t aBytes)
{
  if (aBytes <= kSmallQueueBytes || aConnection.isGivenUp) {
    return;
  }
  SetPhase(aConnection, ClientPhase::Pipelining);
  aConnection.unread.ForceResize(aBytes);
}

core::Task<HttpResponse>
HttpServer::State::Handle(ConnectionPointer aConnection, HttpRequest aRequest)
{
  if (limits.watchClients) {
    WatchClient(aConnection);
    aRequest.client = aConnection->watch;
  }
  HttpResponse response;
  std::string fault;
  try {
    response = co_await handler(std::move(aRequest));
    fault = IsWritable(response) ? std::string() : "the response has an invalid header field";
  } catch (const std::exception& error) {
    fault = error.what();
  }
  if (!fault.empty()) {
    core::LogEvent(core::LogLevel::Error, "net", "request_failed", { { "error", fault } });
    // The request may have run, so the response must not say that it hasn't.
    response = {};
    response.status = static_cast<unsigned>(http::status::bad_gateway);
    response.body = R"({"error":"failed"})";
  }
  if (const auto watch = std::exchange(aConnection->watch, nullptr)) {
    watch->Stop();
  }
  aConnection->unread.ForceResize(0);
  co_return response;
}

/** Counts what the kernel has to send for a client, which is no progress until it is received. */
void
HttpServer::State::CountUnsent(Connection& aConnection)
{
  if (!budget || aConnection.isGivenUp || aConnection.written <= kSmallQueueBytes) {
    return;
  }
  const core::TimePoint now = std::chrono::steady_clock::now();
  const std::size_t bytes = UnsentBytes(aConnection.stream->socket());
  const std::size_t before = aConnection.unsent.Bytes();
  if (bytes < before) {
    clients.AddBytes(aConnection.client, before - bytes, now);
  }
  if (bytes < before || before == 0) {
    aConnection.receivedAt = now;
  }
  const bool isSmall = bytes <= kSmallQueueBytes;
  aConnection.unsent.ForceResize(isSmall ? 0 : bytes);
  if (isSmall) {
    aConnection.written = 0;
  }
}

/** Makes a connection reset when it is closed, if its client has stopped receiving. */
bool
HttpServer::State::ResetIfStopped(Connection& aConnection)
{
  if (aConnection.unsent.Bytes() == 0 ||
      std::chrono::steady_clock::now() - aConnection.receivedAt <= limits.writeTimeout) {
    return false;
  }
  if (closureHandler) {
    closureHandler(aConnection.client->phase);
  }
  SetResetOnClose(aConnection.stream->socket(), true);
  return true;
}

/** Keeps a connection that is to be closed until the client has received its last answer. */
core::Task<void>
HttpServer::State::AwaitDelivery(ConnectionPointer aConnection)
{
  auto& socket = aConnection->stream->socket();
  if (aConnection->unsent.Bytes() == 0 || aConnection->isGivenUp || !socket.is_open()) {
    co_return;
  }
  beast::error_code ec;
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  SetPhase(*aConnection, ClientPhase::Transfer);
  asio::steady_timer timer(loop);
  while (!isClosed && socket.is_open() && aConnection->unsent.Bytes() > 0) {
    if (ResetIfStopped(*aConnection)) {
      co_return;
    }
    timer.expires_after(kDrainInterval);
    co_await timer.async_wait(kAsTuple);
    CountUnsent(*aConnection);
  }
}

core::Task<beast::error_code>
HttpServer::State::AwaitFirstByte(ConnectionPointer aConnection, beast::flat_buffer& aBuffer)
{
  const std::shared_ptr<beast::tcp_stream> stream = aConnection->stream;
  const core::TimePoint start = std::chrono::steady_clock::now();
  while (true) {
    auto isTimedOut = std::make_shared<bool>(false);
    asio::steady_timer timer(loop);
    core::Duration wait = limits.idleTimeout - (std::chrono::steady_clock::now() - start);
    if (aConnection->unsent.Bytes() > 0) {
      wait = std::min(wait, kDrainInterval);
    }
    CancelAfter(timer, wait, stream, isTimedOut);
    auto buffer = aBuffer.prepare(std::min(limits.headerBytes, kFirstReadBytes));
    const auto [ec, n] = co_await stream->async_read_some(buffer, kAsTuple);
    aBuffer.commit(n);
    if (aConnection->unsent.Bytes() > 0) {
      CountUnsent(*aConnection);
      if (aConnection->unsent.Bytes() == 0) {
        SetPhase(*aConnection, ClientPhase::Idle);
      }
    }
    if (ResetIfStopped(*aConnection)) {
      stream->close();
      co_return asio::error::timed_out;
    }
    // The idle timeout may have been increased while waiting.
    if (*isTimedOut && ec && std::chrono::steady_clock::now() - start < limits.idleTimeout) {
      continue;
    }
    co_return ec == asio::error::eof ? beast::error_code(http::error::end_of_stream) : ec;
  }
}

core::Task<beast::error_code>
HttpServer::State::Read(ConnectionPointer aConnection,
                        beast::flat_buffer& aBuffer,
                        Parser& aParser,
                        HttpRequest& aRequest)
{
  // The limits may have changed since the last request.
  aBuffer.max_size(limits.headerBytes + limits.unparsedBytes);
  // The idle timeout applies until the first byte, the request timeout after it.
  if (aBuffer.size() == 0) {
    const beast::error_code ec = co_await AwaitFirstByte(aConnection, aBuffer);
    if (ec) {
      co_return ec;
    }
  }
  aConnection->isBusy = true;
  SetPhase(*aConnection, ClientPhase::Transfer);
  auto isTimedOut = std::make_shared<bool>(false);
  asio::steady_timer timer(loop);
  CancelAfter(timer, limits.requestTimeout, aConnection->stream, isTimedOut);
  std::size_t fieldBytes = 0;
  const auto mayRead = [&](const MessageMemory& aUse) -> beast::error_code {
    clients.AddBytes(aConnection->client, aUse.received, std::chrono::steady_clock::now());
    const bool hasRoom =
      aConnection->memory.Resize(Charge(aUse.bufferBytes + aUse.bodyBytes + fieldBytes));
    return hasRoom ? beast::error_code() : asio::error::no_memory;
  };
  const auto onHead = [&] {
    aRequest = ToRequestHead(aParser);
    fieldBytes = FieldBytesOf(aRequest);
  };
  const beast::error_code ec =
    co_await ReadMessage(*aConnection->stream, aBuffer, aParser, mayRead, onHead);
  co_return *isTimedOut&& ec ? beast::error_code(beast::error::timeout) : ec;
}

core::Task<beast::error_code>
HttpServer::State::Write(Connection& aConnection,
                         const std::string& aHead,
                         const std::string& aBody)
{
  beast::buffers_suffix<std::array<asio::const_buffer, 2>> rest(MessageBuffers(aHead, aBody));
  std::size_t size = aHead.size() + aBody.size();
  bool isResetOnClose = false;
  while (size > 0) {
    aConnection.stream->expires_after(limits.writeTimeout);
    const auto [ec, n] = co_await aConnection.stream->async_write_some(rest, kAsTuple);
    if (ec) {
      co_return ec;
    }
    rest.consume(n);
    size -= n;
    aConnection.written += n;
    clients.AddBytes(aConnection.client, n, std::chrono::steady_clock::now());
    CountUnsent(aConnection);
    if (aConnection.isGivenUp) {
      co_return asio::error::operation_aborted;
    }
    if (size > 0 && !isResetOnClose) {
      // The answer can't be completed any more when the stream closes the connection.
      isResetOnClose = true;
      SetResetOnClose(aConnection.stream->socket(), true);
    }
  }
  if (isResetOnClose) {
    SetResetOnClose(aConnection.stream->socket(), false);
  }
  // The timeout would also end the wait for the next request.
  aConnection.stream->expires_never();
  co_return beast::error_code();
}

core::Task<bool>
HttpServer::State::Respond(Connection& aConnection,
                           HttpResponse aResponse,
                           bool aKeepAlive,
                           bool aIsHead)
{
  http::response<http::string_body> message;
  message.result(aResponse.status);
  FillHeader(message, aResponse, aKeepAlive);
  message.body() = std::move(aResponse.body);
  message.prepare_payload();
  if (aIsHead) {
    // The length of the body that GET would get is known only for responses made here.
    if (message.body().empty()) {
      message.erase(http::field::content_length);
    }
  }
  const std::string head = SerializeHead(message);
  if (aIsHead) {
    message.body().clear();
  }
  if (!aConnection.isRefused) {
    SetPhase(aConnection, ClientPhase::Transfer);
  }
  aConnection.answer = std::move(aResponse.memory);
  if (budget && !aConnection.answer && message.body().size() > limits.unlimitedBytes &&
      message.body().size() > kSmallBodyBytes) {
    aConnection.answer = std::make_shared<MemoryReservation>(budget, MemoryUse::Answer);
  }
  if (aConnection.answer) {
    // The body exists already; that of a replica may have been joined with others since.
    aConnection.answer->ForceResize(message.body().capacity());
  }
  const beast::error_code ec = co_await Write(aConnection, head, message.body());
  aConnection.answer.reset();
  co_return !ec && aKeepAlive;
}

core::Task<bool>
HttpServer::State::RespondStreamed(beast::tcp_stream& aStream, HttpResponse aResponse)
{
  http::response<http::empty_body> message;
  message.result(aResponse.status);
  FillHeader(message, aResponse, false);
  message.chunked(true);
  const std::string head = SerializeHead(message);
  aStream.expires_after(kStreamWriteTimeout);
  const auto [ec, n] = co_await asio::async_write(aStream, asio::buffer(head), kAsTuple);
  if (ec) {
    co_return false;
  }
  ChunkStream chunks(aStream);
  co_await aResponse.stream(chunks);
  aStream.expires_after(kStreamWriteTimeout);
  const auto end = http::make_chunk_last();
  co_await asio::async_write(aStream, end, kAsTuple);
  co_return false;
}

HttpResponse
HttpServer::State::MakeRejection(HttpRequestError aError) const
{
  HttpResponse response;
  if (errorHandler) {
    response = errorHandler(aError);
  } else {
    response.body = R"({"error":")" + std::string(NameOf(aError)) + R"("})";
  }
  response.status = ToStatus(aError);
  return response;
}

/**
 * Rejects the first request of a connection. A client takes an answer that arrives before it has
 * sent a request for a fault of the connection, and can't tell that it was refused.
 */
core::Task<void>
HttpServer::State::Refuse(Connection& aConnection, HttpRequestError aError)
{
  if (limits.refusalWait > core::Duration::zero()) {
    auto isTimedOut = std::make_shared<bool>(false);
    asio::steady_timer timer(loop);
    CancelAfter(timer, limits.refusalWait, aConnection.stream, isTimedOut);
    co_await aConnection.stream->socket().async_wait(asio::ip::tcp::socket::wait_read, kAsTuple);
  }
  if (aConnection.isGivenUp) {
    co_return;
  }
  SetPhase(aConnection, ClientPhase::Handling);
  co_await RejectAndLinger(aConnection, aError);
}

core::Task<void>
HttpServer::State::RejectAndLinger(Connection& aConnection, HttpRequestError aError)
{
  beast::tcp_stream& stream = *aConnection.stream;
  co_await Respond(aConnection, MakeRejection(aError), false);
  SetPhase(aConnection, aConnection.isRefused ? ClientPhase::Refused : ClientPhase::Rejected);
  // Closing a socket with unread bytes would reset the connection, and the response could be lost.
  beast::error_code ec;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  stream.expires_after(kLingerTimeout);
  std::string discarded(kLingerReadBytes, '\0');
  while (!ec) {
    auto buffer = asio::buffer(discarded);
    const auto [readError, n] = co_await stream.async_read_some(buffer, kAsTuple);
    ec = readError;
  }
}

HttpServer::HttpServer(asio::io_context& aLoop, HttpServerLimits aLimits, HttpHandler aHandler)
  : mState(std::make_shared<State>(aLoop, aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  Close();
}

void
HttpServer::SetErrorHandler(HttpErrorHandler aHandler)
{
  mState->errorHandler = std::move(aHandler);
}

void
HttpServer::SetClosureHandler(HttpClosureHandler aHandler)
{
  mState->closureHandler = std::move(aHandler);
}

void
HttpServer::SetBudget(std::shared_ptr<MemoryBudget> aBudget)
{
  mState->budget = std::move(aBudget);
  if (mState->budget && mState->limits.closeStalled) {
    mState->budget->AddReclaimer([weak = std::weak_ptr(mState)](MemoryUse aUse) {
      const auto state = weak.lock();
      return state && state->CloseStalled(aUse);
    });
  }
}

void
HttpServer::SetLimits(HttpServerLimits aLimits)
{
  mState->limits = aLimits;
}

bool
HttpServer::Listen(const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    mLastError = "not an IP address and port: " + aAddress;
    return false;
  }
  auto& acceptor = mState->acceptor;
  beast::error_code ec;
  acceptor.open(endpoint->protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec && mState->limits.receiveBufferBytes > 0) {
    // Connections inherit it, so that it limits what they receive before they are accepted.
    acceptor.set_option(
      asio::socket_base::receive_buffer_size(static_cast<int>(mState->limits.receiveBufferBytes)),
      ec);
  }
  if (!ec) {
    acceptor.bind(*endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(static_cast<int>(mState->limits.backlog), ec);
  }
  if (ec) {
    mLastError = aAddress + ": " + ec.message();
    acceptor.close(ec);
    return false;
  }
  core::Start(mState->loop.get_executor(), mState->Accept(mState));
  return true;
}

std::string
HttpServer::Address() const
{
  beast::error_code ec;
  const auto endpoint = mState->acceptor.local_endpoint(ec);
  return ec ? std::string() : ToString(endpoint);
}

bool
HttpServer::ClosePipelining()
{
  return mState->limits.closeStalled &&
         mState->GiveUp(mState->clients.NextPipelining(std::chrono::steady_clock::now()));
}

void
HttpServer::StopAccepting()
{
  beast::error_code ec;
  mState->acceptor.close(ec);
}

void
HttpServer::CloseAfterResponses()
{
  mState->isClosing = true;
}

void
HttpServer::CloseIdle()
{
  StopAccepting();
  mState->isClosing = true;
  for (auto& [id, connection] : mState->connections) {
    if (!connection->isBusy) {
      beast::error_code ec;
      connection->stream->socket().close(ec);
    }
  }
}

std::size_t
HttpServer::OpenConnections() const
{
  return mState->connections.size();
}

std::size_t
HttpServer::ActiveRequests() const
{
  return mState->active;
}

void
HttpServer::Close()
{
  StopAccepting();
  mState->isClosed = true;
  for (auto& [id, connection] : mState->connections) {
    beast::error_code ec;
    connection->stream->socket().close(ec);
  }
}

} // namespace skylarkwing::net
