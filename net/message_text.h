#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <string>

namespace skylarkwing::net {

/**
 * Writes the head of a message as text.
 *
 * Beast's own write walks its view of the head's pieces anew for each system call and each check of
 * their size; copied once, the head is a single buffer.
 *
 * @return the head, up to and with the empty line that ends it.
 */
template<bool kIsRequest, typename Body>
std::string
HeadText(const boost::beast::http::message<kIsRequest, Body>& aMessage)
{
  namespace http = boost::beast::http;
  std::string text;
  http::serializer<kIsRequest, Body> serializer(aMessage);
  serializer.split(true);
  boost::beast::error_code ec;
  while (!ec && !serializer.is_header_done()) {
    serializer.next(ec, [&](boost::beast::error_code&, const auto& aBuffers) {
      std::size_t n = 0;
      for (const boost::asio::const_buffer piece : boost::beast::buffers_range_ref(aBuffers)) {
        text.append(static_cast<const char*>(piece.data()), piece.size());
        n += piece.size();
      }
      serializer.consume(n);
    });
  }
  return text;
}

/** @return a message's head and body as what one write sends; both must outlive it. */
inline std::array<boost::asio::const_buffer, 2>
MessageBuffers(const std::string& aHead, const std::string& aBody)
{
  return { boost::asio::buffer(aHead), boost::asio::buffer(aBody) };
}

} // namespace skylarkwing::net
