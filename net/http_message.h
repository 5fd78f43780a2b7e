#pragma once

#include "core/task.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::net {

/** One HTTP header field. */
struct HttpHeader
{
  std::string name;
  std::string value;
};

/** Tells the handler of a request whether its client still waits for the answer. */
class HttpClientWatch
{
public:
  HttpClientWatch() = default;
  HttpClientWatch(const HttpClientWatch&) = delete;
  HttpClientWatch& operator=(const HttpClientWatch&) = delete;
  virtual ~HttpClientWatch() = default;

  /** @return whether the client has closed its connection. */
  bool IsGone() const { return mIsGone; }

  /** Sets what is called once when the client closes its connection; replaces an earlier one. */
  void OnGone(std::function<void()> aCallback) { mCallback = std::move(aCallback); }

protected:
  /** Notes that the client has gone and calls the callback. */
  void SetGone();

private:
  bool mIsGone = false;
  std::function<void()> mCallback;
};

/** An HTTP request, whole. */
struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  /** IP address and port of the peer; set by the server only. */
  std::string clientAddress;
  /** Set by a server that watches its clients; null otherwise. */
  std::shared_ptr<HttpClientWatch> client;

  /** @return the value of a header field, by its name without regard to case. */
  std::optional<std::string> Header(std::string_view aName) const;

  /** @return the target without its query string. */
  std::string Path() const;

  /** @return one value of the target's query string, decoded. */
  std::optional<std::string> QueryValue(std::string_view aName) const;
};

/** The open end of a response that is sent piece by piece. */
class HttpStream
{
public:
  HttpStream() = default;
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;
  virtual ~HttpStream() = default;

  /**
   * Sends one piece.
   *
   * @return false when the connection is gone; the writer then returns.
   */
  virtual core::Task<bool> Write(std::string aPiece) = 0;
};

/** Writes the pieces of a streamed response until it returns. */
using HttpStreamWriter = std::function<core::Task<void>(HttpStream&)>;

/** An HTTP response, whole, or streamed when a writer is set. */
struct HttpResponse
{
  unsigned status = 200;
  /** Empty when the headers hold it, or there is none. */
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
  HttpStreamWriter stream;

  /** @return the value of a header field, by its name without regard to case. */
  std::optional<std::string> Header(std::string_view aName) const;
};

} // namespace skylarkwing::net
