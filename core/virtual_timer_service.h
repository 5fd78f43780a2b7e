#pragma once

#include "core/timer_service.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace skylarkwing::core {

/** Timer service whose clock advances only when a test or an experiment advances it. */
class VirtualTimerService : public TimerService
{
public:
  TimePoint Now() const override { return mNow; }
  std::int64_t WallClockMilliseconds() const override;
  TimerId Schedule(Duration aDelay, Callback aCallback) override;
  void Cancel(TimerId aTimer) override;

  /** @return when the next callback is due, or nothing when none is scheduled. */
  std::optional<TimePoint> NextDue() const;

  /**
   * Advances the clock to the next scheduled callback and runs it.
   *
   * @return false when nothing is scheduled.
   */
  bool RunNext();

  /** Advances the clock and runs every callback that becomes due, in order of due time. */
  void Advance(Duration aDuration);

private:
  using Key = std::pair<TimePoint, TimerId>;

  TimePoint mNow = TimePoint{} + std::chrono::hours{ 1 };
  TimerId mLastId = 0;
  std::map<Key, Callback> mCallbacks;
  std::unordered_map<TimerId, TimePoint> mDueTimes;
};

} // namespace skylarkwing::core
