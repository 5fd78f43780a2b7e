#include "net/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <sstream>

namespace skylarkwing::net {

std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(host, ec);
  if (ec) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* first = aAddress.data() + colon + 1;
  const char* last = aAddress.data() + aAddress.size();
  const auto result = std::from_chars(first, last, port);
  if (result.ec != std::errc{} || result.ptr != last || first == last) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string
ToString(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  std::ostringstream out;
  out << aEndpoint;
  return out.str();
}

} // namespace skylarkwing::net
