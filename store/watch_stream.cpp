#include "store/watch_stream.h"

#include "store/etcd_codec.h"

#include <utility>

namespace skylarkwing::store {

namespace {

/** Fits a value of a megabyte in base64, with room for its envelope. */
constexpr std::size_t kMaxLineBytes = 2UL * 1024 * 1024;

} // namespace

WatchStream::WatchStream(StreamReader aReader)
  : mReadNext(std::move(aReader))
{
}

core::Task<std::optional<WatchMessage>>
WatchStream::Next(core::Duration aTimeout)
{
  std::optional<std::string> line = TakeLine();
  while (!line) {
    const std::optional<std::string> bytes = co_await mReadNext(aTimeout);
    if (!bytes || mBuffer.size() > kMaxLineBytes) {
      co_return std::nullopt;
    }
    mBuffer += *bytes;
    line = TakeLine();
  }
  std::optional<WatchMessage> message = DecodeWatch(*line);
  co_return message;
}

std::optional<std::string>
WatchStream::TakeLine()
{
  const std::size_t end = mBuffer.find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string line = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 1);
  return line;
}

} // namespace skylarkwing::store
