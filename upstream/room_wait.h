#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <optional>

namespace skylarkwing::upstream {

/**
 * Estimates how long a request waits for room at the replicas of a service, by the rate at which
 * those before it got room.
 *
 * Answers the load at which requests arrive faster than replicas finish them: without an estimate
 * all of them wait, and those that get room are late already. Does no I/O.
 */
class RoomWait
{
public:
  /** Records that a waiting request got room. @param aIsLast whether none waits any more. */
  void RecordRoom(bool aIsLast, core::TimePoint aNow);

  /**
   * @param aAhead requests that get room before.
   * @return the expected wait; zero when it isn't known.
   */
  core::Duration Expected(std::size_t aAhead, core::TimePoint aNow) const;

private:
  /** Typical time between two requests that get room while others wait. */
  std::optional<core::Duration> mInterval;
  /** When a request last got room; nothing when none has waited since. */
  std::optional<core::TimePoint> mLastRoomAt;
};

} // namespace skylarkwing::upstream
