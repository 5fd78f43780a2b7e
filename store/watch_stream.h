#pragma once

#include "store/store_endpoint.h"
#include "store/store_messages.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::store {

/** An open watch. Not thread-safe; one task reads from it. */
class WatchStream
{
public:
  explicit WatchStream(StreamReader aReader);

  /**
   * Waits for the next message.
   *
   * @param aTimeout how long the stream may stay silent.
   * @return the message; nothing when the stream ended, timed out or could not be decoded. The
   * watch is then over, and a new one has to start after the last revision that was received.
   */
  core::Task<std::optional<WatchMessage>> Next(core::Duration aTimeout);

private:
  StreamReader mReadNext;
  std::string mBuffer;

  std::optional<std::string> TakeLine();
};

} // namespace skylarkwing::store
