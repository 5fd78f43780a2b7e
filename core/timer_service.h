#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace skylarkwing::core {

/** Duration of monotonic time. */
using Duration = std::chrono::steady_clock::duration;

/** Point in monotonic time, unrelated to the wall clock. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Identifies a scheduled callback; 0 is never used. */
using TimerId = std::uint64_t;

/**
 * The only source of monotonic time and of timers.
 *
 * Components never read a clock themselves, so that all of them can run on virtual time. Not
 * thread-safe: one instance belongs to one event loop.
 */
class TimerService
{
public:
  /** Called once when the timer expires. */
  using Callback = std::function<void()>;

  TimerService() = default;
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;
  virtual ~TimerService() = default;

  /** @return the current monotonic time. */
  virtual TimePoint Now() const = 0;

  /** @return milliseconds since the Unix epoch, for audit records and logs only. */
  virtual std::int64_t WallClockMilliseconds() const = 0;

  /**
   * Schedules a callback.
   *
   * @param aDelay delay from now; zero or less means as soon as possible.
   * @param aCallback called on the event loop of this service.
   * @return the ID for Cancel(), never 0.
   */
  virtual TimerId Schedule(Duration aDelay, Callback aCallback) = 0;

  /** Cancels a callback that has not started; an unknown ID or 0 is ignored. */
  virtual void Cancel(TimerId aTimer) = 0;
};

} // namespace skylarkwing::core
