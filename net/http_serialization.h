#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <string>

namespace skylarkwing::net {

/**
 * Serializes the head of a message into one string.
 *
 * Beast's own write iterates over the buffer sequence of the head for each system call and each
 * size check; copied once, the head is a single buffer.
 *
 * @return the start line and header fields, including the terminating empty line.
 */
template<bool kIsRequest, typename Body>
std::string
SerializeHead(const boost::beast::http::message<kIsRequest, Body>& aMessage)
{
  namespace http = boost::beast::http;
  std::string head;
  http::serializer<kIsRequest, Body> serializer(aMessage);
  serializer.split(true);
  boost::beast::error_code ec;
  while (!ec && !serializer.is_header_done()) {
    serializer.next(ec, [&](boost::beast::error_code&, const auto& aBuffers) {
      std::size_t n = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(aBuffers)) {
        head.append(static_cast<const char*>(buffer.data()), buffer.size());
        n += buffer.size();
      }
      serializer.consume(n);
    });
  }
  return head;
}

/** @return whether the only transfer coding of a message with such codings is "chunked". */
template<typename Message>
bool
IsChunkedOnly(const Message& aMessage, boost::beast::http::field aField)
{
  int codings = 0;
  bool isChunked = true;
  const auto [begin, end] = aMessage.equal_range(aField);
  for (auto it = begin; it != end; ++it) {
    for (const auto& coding : boost::beast::http::token_list(it->value())) {
      ++codings;
      isChunked = isChunked && boost::beast::iequals(coding, "chunked");
    }
  }
  return codings == 1 && isChunked;
}

/** @return head and body as buffers for a single write; both strings must outlive the write. */
inline std::array<boost::asio::const_buffer, 2>
MessageBuffers(const std::string& aHead, const std::string& aBody)
{
  return { boost::asio::buffer(aHead), boost::asio::buffer(aBody) };
}

} // namespace skylarkwing::net
