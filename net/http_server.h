#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "net/http_message.h"

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
  std::size_t connections = 4096;
  core::Duration idleTimeout = std::chrono::seconds{ 60 };
  core::Duration requestTimeout = std::chrono::seconds{ 5 };
  /** Sets HttpRequest::client. A client that closes its sending side counts as disconnected. */
  bool watchClients = false;
};

/** Why a request was rejected before it reached the handler. */
enum class HttpRequestError
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooSlow,
  TooManyConnections,
};

/** @return the name of an error, for metric labels and error responses. */
std::string_view
NameOf(HttpRequestError aError);

/** Handles one request. */
using HttpHandler = std::function<core::Task<HttpResponse>(HttpRequest)>;

/** Creates the response to a rejected request; called once for each, so it may also count them. */
using HttpErrorHandler = std::function<HttpResponse(HttpRequestError)>;

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
