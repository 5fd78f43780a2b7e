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
   * @return the message; nothing when the stream ended, fell silent or was not understood. The
   *         watch is then over and a new one starts after the last revision that was seen.
   */
  core::Task<std::optional<WatchMessage>> Next(core::Duration aTimeout);

private:
  StreamReader mReader;
  std::string mBuffer;

  std::optional<std::string> TakeLine();
};

} // namespace skylarkwing::store
