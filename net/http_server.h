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

/** Bounds on what one client may send and hold. */
struct HttpServerLimits
{
  std::size_t headerBytes = std::size_t{ 16 } * 1024;
  std::size_t bodyBytes = std::size_t{ 1024 } * 1024;
  std::size_t connections = 4096;
  core::Duration idleTimeout = std::chrono::seconds{ 60 };
  core::Duration requestTimeout = std::chrono::seconds{ 5 };
  /** Gives handlers a watch on their client. A client that closes its half counts as gone. */
  bool watchClients = false;
};

/** Why a request never reached its handler. */
enum class HttpServerFault
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooSlow,
  TooManyConnections,
};

/** @return the name of a fault, for metric labels and refusals. */
std::string_view
NameOf(HttpServerFault aFault);

/** Answers one request. */
using HttpHandler = std::function<core::Task<HttpResponse>(HttpRequest)>;

/** Makes the response to a request that could not be read; also the place to count it. */
using HttpFaultHandler = std::function<HttpResponse(HttpServerFault)>;

/** An HTTP/1.1 server with one task for each connection. All calls on the loop's own thread. */
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aLoop, HttpServerLimits aLimits, HttpHandler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Replaces the plain response to requests that cannot be read. */
  void SetFaultHandler(HttpFaultHandler aHandler);

  /** Takes other limits; connections that wait for a request keep the longer idle timeout. */
  void SetLimits(HttpServerLimits aLimits);

  /**
   * Binds and accepts.
   *
   * @param aAddress "IP:port"; port 0 picks a free one.
   * @return false when the address cannot be bound; LastError() then says why.
   */
  bool Listen(const std::string& aAddress);

  /** @return the bound "IP:port". */
  std::string Address() const;

  /** @return why Listen() failed. */
  const std::string& LastError() const { return mLastError; }

  /** Accepts no more connections; those that are open go on. */
  void StopAccepting();

  /** Marks every further response as the last of its connection, so that clients move away. */
  void CloseAfterResponses();

  /** Closes connections on which no request has begun, and stops accepting. */
  void CloseIdle();

  /** @return how many connections are open. */
  std::size_t OpenConnections() const;

  /** @return how many requests have been read and not yet answered whole. */
  std::size_t ActiveRequests() const;

  /** Closes everything at once. */
  void Close();

private:
  struct State;
  std::shared_ptr<State> mState;
  std::string mLastError;
};

} // namespace skylarkwing::net
