#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "net/client_queue.h"
#include "net/http_message.h"
#include "net/memory_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace skylarkwing::net {

/** Limits on sizes, connections and times. */
struct HttpServerLimits
{
  std::size_t headerBytes = std::size_t{ 16 } * 1024;
  std::size_t bodyBytes = std::size_t{ 1024 } * 1024;
  /** Received, unparsed bytes besides a header, such as the framing of a chunk. */
  std::size_t unparsedBytes = std::size_t{ 128 } * 1024;
  std::size_t connections = 4096;
  /** Connections that wait to be accepted, applied by Listen(); each may hold a receive buffer. */
  std::size_t backlog = 1024;
  core::Duration idleTimeout = std::chrono::seconds{ 60 };
  core::Duration requestTimeout = std::chrono::seconds{ 5 };
  /** A client that takes no byte of a response for this long is closed. */
  core::Duration writeTimeout = std::chrono::seconds{ 10 };
  /**
   * A refused connection gets its answer after this time if its request hasn't arrived; 0 to answer
   * at once.
   */
  core::Duration refusalWait = core::Duration::zero();
  /** Sets HttpRequest::client. A client that closes its sending side counts as disconnected. */
  bool watchClients = false;
  /**
   * Whether a connection without progress is closed when another one needs its place or its
   * memory; otherwise only newcomers are refused.
   */
  bool closeStalled = false;
  /** Size of the kernel's send buffer of a connection, so that it counts little; 0 for its own. */
  std::size_t sendBufferBytes = 0;
  /** Size of the kernel's receive buffer, applied by Listen(); 0 for its own. */
  std::size_t receiveBufferBytes = 0;
  /** Memory of a connection that no budget limits. */
  std::size_t unlimitedBytes = 0;
};

/** Why a request was rejected before it reached the handler. */
enum class HttpRequestError
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooSlow,
  TooManyConnections,
  /** There was no memory for the request; it was not handled. */
  NotEnoughMemory,
};

/** @return the name of an error, for metric labels and error responses. */
std::string_view
NameOf(HttpRequestError aError);

/** Handles one request. */
using HttpHandler = std::function<core::Task<HttpResponse>(HttpRequest)>;

/** Creates the response to a rejected request; called once for each, so it may also count them. */
using HttpErrorHandler = std::function<HttpResponse(HttpRequestError)>;

/** Called for each connection that is closed for want of progress, with its phase. */
using HttpClosureHandler = std::function<void(ClientPhase)>;

/** HTTP/1.1 server with one task per connection. All calls must be made on the loop's thread. */
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aLoop, HttpServerLimits aLimits, HttpHandler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Replaces the default response to rejected requests. */
  void SetErrorHandler(HttpErrorHandler aHandler);

  /** Sets what is told of connections that are closed for want of progress. */
  void SetClosureHandler(HttpClosureHandler aHandler);

  /** Limits the memory of connections, requests and responses; call it before Listen(). */
  void SetBudget(std::shared_ptr<MemoryBudget> aBudget);

  /** Changes the limits; for connections that are idle now, the longer idle timeout applies. */
  void SetLimits(HttpServerLimits aLimits);

  /**
   * Binds an address and starts to accept connections.
   *
   * @param aAddress "IP:port"; port 0 selects a free port.
   * @return false when the address cannot be bound; see LastError().
   */
  bool Listen(const std::string& aAddress);

  /** @return the bound "IP:port". */
  std::string Address() const;

  /** @return why Listen() failed. */
  const std::string& LastError() const { return mLastError; }

  /**
   * Gives up a connection whose client has sent on while its request is handled. Such a client may
   * have left, which doesn't show while the kernel's buffer is full of what it sent.
   *
   * @return false if there is none.
   */
  bool ClosePipelining();

  /** Stops accepting connections; open connections stay open. */
  void StopAccepting();

  /** Closes each connection after its next response, so that clients connect elsewhere. */
  void CloseAfterResponses();

  /** Stops accepting connections, and closes those without a request in progress. */
  void CloseIdle();

  /** @return the number of open connections. */
  std::size_t OpenConnections() const;

  /** @return the number of requests that have been read but not completely answered. */
  std::size_t ActiveRequests() const;

  /** Closes the listening socket and all connections immediately. */
  void Close();

private:
  struct State;
  std::shared_ptr<State> mState;
  std::string mLastError;
};

} // namespace skylarkwing::net
