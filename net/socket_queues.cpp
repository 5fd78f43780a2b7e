#include "net/socket_queues.h"

#include <boost/system/error_code.hpp>

#include <linux/sockios.h>
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
  return ioctl(aSocket.native_handle(), SIOCOUTQ, &n) == 0 && n > 0 ? static_cast<std::size_t>(n)
                                                                    : 0;
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
