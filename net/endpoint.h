#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace skylarkwing::net {

/** @return the TCP endpoint for "IP:port" or "[IPv6]:port", or nothing if it cannot be parsed. */
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

/** @return an endpoint as "IP:port". */
std::string
ToString(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace skylarkwing::net
