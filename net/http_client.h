#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "net/http_message.h"
#include "net/memory_budget.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace skylarkwing::net {

/** Errors of an HTTP exchange. */
enum class HttpClientError
{
  None,
  /** The connection could not be established; nothing was sent. */
  ConnectFailed,
  /** The connection was closed before any byte of the request was written. */
  NothingSent,
  /** The connection was lost after bytes were written.
   * The server may have processed the request. */
  Broken,
  /** No complete response arrived in time; the server may have processed the request. */
  TimedOut,
  /** The response is not valid HTTP, or exceeds a size limit. */
  Malformed,
  /** There was no memory for the response; the server has processed the request. */
  NotEnoughMemory,
  /** The request has a text that HTTP doesn't allow there; nothing was sent. */
  InvalidRequest,
};

/** @return the name of an error, for logs and metric labels. */
std::string_view
NameOf(HttpClientError aError);

/** Result of one exchange: a response, or an error and an empty response. */
struct HttpResult
{
  HttpClientError error = HttpClientError::None;
  HttpResponse response;
};

/** Client connection that runs one exchange at a time. */
class HttpConnection
{
public:
  HttpConnection() = default;
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  virtual ~HttpConnection() = default;

  /** @return false when "IP:port" did not accept the connection within the timeout. */
  virtual core::Task<bool> Connect(std::string aAddress, core::Duration aTimeout) = 0;

  /**
   * Sends a request and reads the complete response. Any error but InvalidRequest closes the
   * connection.
   */
  virtual core::Task<HttpResult> Exchange(HttpRequest aRequest, core::Duration aTimeout) = 0;

  /** Reads another response, for when the last one did not belong to a request sent here. */
  virtual core::Task<HttpResult> ReadNext(core::Duration aTimeout) = 0;

  /** @return whether the connection is open, as far as is known locally. */
  virtual bool IsOpen() const = 0;

  /** Closes the connection; a running exchange fails with Broken. */
  virtual void Close() = 0;
};

/** Creates a connection that is not connected yet. */
using HttpConnectionFactory = std::function<std::shared_ptr<HttpConnection>()>;

/**
 * Keep-alive HTTP/1.1 client connection over TCP.
 *
 * Not thread-safe. A task that runs an exchange must keep the object alive until the exchange ends.
 */
class TcpHttpConnection : public HttpConnection
{
public:
  /** @param aBudget budget for responses and unsent requests; null for no limit on all of them. */
  explicit TcpHttpConnection(boost::asio::any_io_executor aExecutor,
                             std::shared_ptr<MemoryBudget> aBudget = nullptr);
  ~TcpHttpConnection() override;

  core::Task<bool> Connect(std::string aAddress, core::Duration aTimeout) override;
  core::Task<HttpResult> Exchange(HttpRequest aRequest, core::Duration aTimeout) override;
  core::Task<HttpResult> ReadNext(core::Duration aTimeout) override;

  /** Sends a request and reads the header of a streamed response; ReadSome() reads the body. */
  core::Task<HttpResult> OpenStream(HttpRequest aRequest, core::Duration aTimeout);

  /** @return the next bytes of a streamed body, or nothing at its end, on errors and timeouts. */
  core::Task<std::optional<std::string>> ReadSome(core::Duration aTimeout);

  bool IsOpen() const override;
  void Close() override;

private:
  struct State;
  std::shared_ptr<State> mState;
};

/**
 * @param aBudget budget for responses and unsent requests; null for no limit on all of them.
 * @return a factory for TCP connections.
 */
HttpConnectionFactory
MakeTcpHttpConnectionFactory(boost::asio::any_io_executor aExecutor,
                             std::shared_ptr<MemoryBudget> aBudget = nullptr);

} // namespace skylarkwing::net
