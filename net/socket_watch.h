#pragma once

#include "net/http_message.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace skylarkwing::net {

/** Monitors the socket of a client while its request is handled. */
class SocketWatch
  : public HttpClientWatch
  , public std::enable_shared_from_this<SocketWatch>
{
public:
  /** Gets the bytes that were received behind the request, whenever they are looked at. */
  using UnreadHandler = std::function<void(std::size_t)>;

  SocketWatch(std::shared_ptr<boost::beast::tcp_stream> aStream, UnreadHandler aOnUnread);

  void Start();

  void Stop();

  /** Treats the client as disconnected, because the server closes the connection. */
  void Interrupt();

private:
  std::shared_ptr<boost::beast::tcp_stream> mStream;
  UnreadHandler mOnUnread;
  boost::asio::steady_timer mTimer;
  bool mIsStopped = false;

  void OnReadable(const boost::beast::error_code& aError);
  /** Looks at the socket at intervals, because unread bytes make every wait end at once. */
  void Poll();
};

} // namespace skylarkwing::net
