#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace skylarkwing::net {

/** @return the TCP endpoint of "IP:port" or "[IPv6]:port", or nothing when it is not one. */
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

/** @return "IP:port" of an endpoint. */
std::string
ToString(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace skylarkwing::net
