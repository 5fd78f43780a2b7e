#include "net/socket_queues.h"

#include <boost/system/error_code.hpp>

#include <poll.h>

namespace skylarkwing::net {

std::size_t
UnreadBytes(const boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ec;
  const std::size_t n = aSocket.available(ec);
  return ec ? 0 : n;
}

bool
IsClosedByPeer(boost::asio::ip::tcp::socket& aSocket)
{
  pollfd descriptor{ aSocket.native_handle(), POLLRDHUP, 0 };
  return poll(&descriptor, 1, 0) > 0;
}

} // namespace skylarkwing::net
