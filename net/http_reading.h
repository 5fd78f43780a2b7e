#pragma once

#include "core/task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstddef>
#include <type_traits>

namespace skylarkwing::net {

/** How much of a message is held in memory. */
struct MessageMemory
{
  /** Bytes that the last read has received. */
  std::size_t received = 0;
  /** Sizes of the allocated blocks. */
  std::size_t bufferBytes = 0;
  std::size_t bodyBytes = 0;
};

/**
 * Reads a message like boost::beast::http::async_read, but asks before each read whether there is
 * memory for it.
 *
 * @param aMayRead function or task that gets a MessageMemory and returns the error that ends the
 *        read.
 * @param aOnHead called when the head is complete, before trailers are added to its fields.
 */
template<typename Parser, typename MayRead, typename OnHead>
core::Task<boost::beast::error_code>
ReadMessage(boost::beast::tcp_stream& aStream,
            boost::beast::flat_buffer& aBuffer,
            Parser& aParser,
            MayRead& aMayRead,
            OnHead aOnHead)
{
  namespace http = boost::beast::http;
  constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
  const auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
  boost::beast::error_code ec;
  MessageMemory memory;
  while (true) {
    if (!aParser.is_header_done() && aBuffer.size() > 0) {
      aBuffer.consume(aParser.put(aBuffer.data(), ec));
      if (aParser.is_header_done()) {
        aParser.eager(true);
        aOnHead();
      }
    }
    if (!ec && aParser.is_header_done() && !aParser.is_done() && aBuffer.size() > 0) {
      aBuffer.consume(aParser.put(aBuffer.data(), ec));
    }
    if (ec && ec != http::error::need_more) {
      co_return ec;
    }
    if (aParser.is_done()) {
      co_return boost::beast::error_code();
    }
    ec = {};
    const std::size_t room = aBuffer.max_size() - aBuffer.size();
    if (room == 0) {
      co_return http::error::buffer_overflow;
    }
    const std::size_t unused = aBuffer.capacity() - aBuffer.size();
    const auto target = aBuffer.prepare(std::min(std::max(unused, kReadBytes), room));
    memory.bufferBytes = aBuffer.capacity();
    memory.bodyBytes = aParser.get().body().capacity();
    if constexpr (std::is_same_v<decltype(aMayRead(memory)), boost::beast::error_code>) {
      ec = aMayRead(memory);
    } else {
      ec = co_await aMayRead(memory);
    }
    if (ec) {
      co_return ec;
    }
    const auto [readError, n] = co_await aStream.async_read_some(target, asTuple);
    memory.received = n;
    aBuffer.commit(n);
    if (readError == boost::asio::error::eof && aParser.got_some()) {
      ec = {};
      aParser.put_eof(ec);
      co_return ec;
    }
    if (readError) {
      co_return readError == boost::asio::error::eof ? http::error::end_of_stream : readError;
    }
  }
}

} // namespace skylarkwing::net
