#include "upstream/room_wait.h"

#include <algorithm>
#include <cstdint>

namespace skylarkwing::upstream {

namespace {

/** Weight of the newest interval in the average. */
constexpr double kSampleWeight = 0.1;

} // namespace

void
RoomWait::RecordRoom(bool aIsLast, core::TimePoint aNow)
{
  if (mLastRoomAt) {
    const core::Duration sample = aNow - *mLastRoomAt;
    const core::Duration interval = mInterval.value_or(sample);
    mInterval =
      interval + std::chrono::duration_cast<core::Duration>((sample - interval) * kSampleWeight);
  }
  mLastRoomAt = aIsLast ? std::nullopt : std::optional<core::TimePoint>(aNow);
}

core::Duration
RoomWait::Expected(std::size_t aAhead, core::TimePoint aNow) const
{
  if (aAhead == 0 || !mInterval || !mLastRoomAt) {
    return core::Duration::zero();
  }
  // A replica that stalls frees no room, so that the average says too little.
  return std::max(*mInterval * static_cast<std::int64_t>(aAhead), aNow - *mLastRoomAt);
}

} // namespace skylarkwing::upstream
