#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace skylarkwing::net {

/** @return the bytes that were received and not read yet; 0 if the system doesn't tell. */
std::size_t
UnreadBytes(const boost::asio::ip::tcp::socket& aSocket);

/**
 * @return whether the other side has closed or reset the connection, also while received bytes are
 *         unread, which hide it from a read.
 */
bool
IsClosedByPeer(boost::asio::ip::tcp::socket& aSocket);

} // namespace skylarkwing::net
