#include "net/socket_queues.h"

#include <boost/system/error_code.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace skylarkwing::net {

std::size_t
UnreadBytes(const boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ec;
  const std::size_t n = aSocket.available(ec);
  return ec ? 0 : n;
}

std::size_t
UnsentBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int n = 0;
  if (ioctl(aSocket.native_handle(), SIOCOUTQ, &n) != 0 || n <= 0) {
    return 0;
  }
  // The kernel drops the bytes of a connection that was reset, but still counts them.
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool isClosed =
    getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
    info.tcpi_state == TCP_CLOSE;
  return isClosed ? 0 : static_cast<std::size_t>(n);
}

std::size_t
QueuedConnections(boost::asio::ip::tcp::acceptor& aAcceptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(aAcceptor.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  // For a listening socket, the kernel reports the length of its queue here.
  return info.tcpi_unacked;
}

void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aIsReset)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger(aIsReset, 0), ignored);
}

bool
IsClosedByPeer(boost::asio::ip::tcp::socket& aSocket)
{
  pollfd descriptor{ aSocket.native_handle(), POLLRDHUP, 0 };
  return poll(&descriptor, 1, 0) > 0;
}

} // namespace skylarkwing::net
