#pragma once

#include "core/task.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::net {

class MemoryReservation;
struct MemoryWaitLimit;

/** One HTTP header field. */
struct HttpHeader
{
  std::string name;
  std::string value;
};

/** @return whether a header field can have a value: a control character might end the field. */
bool
IsHeaderValue(std::string_view aText);

/** Lets a request handler detect that its client has disconnected. */
class HttpClientWatch
{
public:
  HttpClientWatch() = default;
  HttpClientWatch(const HttpClientWatch&) = delete;
  HttpClientWatch& operator=(const HttpClientWatch&) = delete;
  virtual ~HttpClientWatch() = default;

  /** @return whether the client has closed its connection. */
  bool IsDisconnected() const { return mIsDisconnected; }

  /** Sets a callback that is called once when the client disconnects; replaces the previous one. */
  void OnDisconnect(std::function<void()> aCallback) { mCallback = std::move(aCallback); }

protected:
  /** Marks the client as disconnected and calls the callback. */
  void SetDisconnected();

private:
  bool mIsDisconnected = false;
  std::function<void()> mCallback;
};

/** A complete HTTP request. */
struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  /** A body that several requests share; sent instead of `body` if it is set. */
  std::shared_ptr<const std::string> sharedBody;
  /** Limits how many responses wait for memory; null for the limit of the budget alone. */
  std::shared_ptr<MemoryWaitLimit> memoryWaitLimit;
  /** IP address and port of the client; set by servers only. */
  std::string clientAddress;
  /** Set by servers with HttpServerLimits::watchClients; null otherwise. */
  std::shared_ptr<HttpClientWatch> client;

  /** @return the value of a header field; the name is case-insensitive. */
  std::optional<std::string> Header(std::string_view aName) const;

  /** @return the target without the query string. */
  std::string Path() const;

  /** @return the decoded value of a query string parameter; "+" stands for a blank. */
  std::optional<std::string> QueryValue(std::string_view aName) const;
};

/** Output stream for the body of a streamed response. */
class HttpStream
{
public:
  HttpStream() = default;
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;
  virtual ~HttpStream() = default;

  /**
   * Sends a part of the body.
   *
   * @return false when the connection is lost; the writer must then return.
   */
  virtual core::Task<bool> Write(std::string aData) = 0;
};

/** Writes the body of a streamed response; the response ends when it returns. */
using HttpStreamWriter = std::function<core::Task<void>(HttpStream&)>;

/** An HTTP response, complete, or streamed if `stream` is set. */
struct HttpResponse
{
  unsigned status = 200;
  /** Empty if `headers` contains it, or there is none. */
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
  HttpStreamWriter stream;
  /** Keeps the memory of the body reserved; set by clients with a MemoryBudget, null otherwise. */
  std::shared_ptr<MemoryReservation> memory;

  /** @return the value of a header field; the name is case-insensitive. */
  std::optional<std::string> Header(std::string_view aName) const;
};

/** @return whether target and header fields of a request are as HTTP allows them. */
bool
IsWritable(const HttpRequest& aRequest);

/** @return whether the header fields of a response are as HTTP allows them. */
bool
IsWritable(const HttpResponse& aResponse);

} // namespace skylarkwing::net
