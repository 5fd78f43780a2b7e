#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace skylarkwing::net {

/** @return the bytes that were received and not read yet; 0 if the system doesn't tell. */
std::size_t
UnreadBytes(const boost::asio::ip::tcp::socket& aSocket);

/**
 * @return the bytes that were written and not received yet; 0 if the system doesn't tell, or the
 *         connection was reset.
 */
std::size_t
UnsentBytes(boost::asio::ip::tcp::socket& aSocket);

/** @return the connections that a listening socket has not accepted yet; 0 if it isn't known. */
std::size_t
QueuedConnections(boost::asio::ip::tcp::acceptor& aAcceptor);

/**
 * Sets whether closing the connection resets it. A reset discards what was not received yet, which
 * the kernel would otherwise keep for minutes for a client that doesn't read.
 */
void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aIsReset);

/**
 * @return whether the other side has closed or reset the connection, also while received bytes are
 *         unread, which hide it from a read.
 */
bool
IsClosedByPeer(boost::asio::ip::tcp::socket& aSocket);

} // namespace skylarkwing::net
