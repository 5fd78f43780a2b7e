#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "net/http_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <optional>
#include <string>

namespace skylarkwing::store {

/** Reads the next bytes of a streamed answer; nothing when it has ended or timed out. */
using StreamReader = std::function<core::Task<std::optional<std::string>>(core::Duration)>;

/** The head of a streamed answer, and a reader for its body. */
struct StreamReply
{
  net::HttpResult reply;
  StreamReader readNext;
};

/** One server of the store and its transport. */
struct StoreEndpoint
{
  /** "IP:port", for logs. */
  std::string name;
  std::function<core::Task<net::HttpResult>(net::HttpRequest, core::Duration)> exchange;
  std::function<core::Task<StreamReply>(net::HttpRequest, core::Duration)> openStream;
};

/** @return a server that is called over HTTP connections, which are reused. */
StoreEndpoint
MakeHttpEndpoint(boost::asio::any_io_executor aExecutor, std::string aAddress);

} // namespace skylarkwing::store
