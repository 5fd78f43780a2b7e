#pragma once

#include "core/task.h"

#include <functional>
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

/** An HTTP request, whole. */
struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  /** IP address and port of the peer; set by the server only. */
  std::string clientAddress;

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
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
  HttpStreamWriter stream;

  /** @return the value of a header field, by its name without regard to case. */
  std::optional<std::string> Header(std::string_view aName) const;
};

} // namespace skylarkwing::net
