#pragma once

#include "core/timer_service.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace skylarkwing::core {

/** A timer service whose time moves only when a test or an experiment moves it. */
class VirtualTimerService : public TimerService
{
public:
  TimePoint Now() const override { return mNow; }
  std::int64_t WallClockMilliseconds() const override;
  TimerId Schedule(Duration aDelay, Callback aCallback) override;
  void Cancel(TimerId aTimer) override;

  /** @return when the next call is due, or nothing when none is scheduled. */
  std::optional<TimePoint> NextDue() const;

  /**
   * Moves time to the next scheduled call and runs it.
   *
   * @return false when nothing is scheduled.
   */
  bool RunNext();

  /** Moves time forward by a span and runs every call that falls due, in order of due time. */
  void Advance(Duration aSpan);

private:
  using Key = std::pair<TimePoint, TimerId>;

  TimePoint mNow = TimePoint{} + std::chrono::hours{ 1 };
  TimerId mLastId = 0;
  std::map<Key, Callback> mCalls;
  std::unordered_map<TimerId, TimePoint> mDueTimes;
};

} // namespace skylarkwing::core
