#include "core/socket_address.h"

#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace skylarkwing::core {

namespace {

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, ec] = std::from_chars(aText.data(), end, port);
  return ec == std::errc{} && stop == end && port != 0;
}

} // namespace

bool
IsSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  std::string_view host = aText.substr(0, colon);
  const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(host), ec);
  return !ec && address.is_v6() == isBracketed;
}

} // namespace skylarkwing::core
