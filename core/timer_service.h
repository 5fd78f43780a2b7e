#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace skylarkwing::core {

/** A span of monotonic time. */
using Duration = std::chrono::steady_clock::duration;

/** A point of monotonic time; it has no relation to the calendar. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Names one scheduled call; 0 names none. */
using TimerId = std::uint64_t;

/**
 * The only source of monotonic time and the only way to be called later.
 *
 * Parts subscribe to it and never read a clock themselves, so that every decision can run under
 * virtual time. Not thread-safe: one instance belongs to one event loop.
 */
class TimerService
{
public:
  /** Called once when its time has come. */
  using Callback = std::function<void()>;

  TimerService() = default;
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;
  virtual ~TimerService() = default;

  /** @return the present monotonic time. */
  virtual TimePoint Now() const = 0;

  /** @return milliseconds since the Unix epoch, for audit records and logs only. */
  virtual std::int64_t WallClockMilliseconds() const = 0;

  /**
   * Schedules one call.
   *
   * @param aDelay time from now; zero or less means as soon as the loop is free.
   * @param aCallback what to call, on the event loop of this service.
   * @return the name to cancel it by, never 0.
   */
  virtual TimerId Schedule(Duration aDelay, Callback aCallback) = 0;

  /** Cancels a call that has not begun; a name that is unknown or 0 is ignored. */
  virtual void Cancel(TimerId aTimer) = 0;
};

} // namespace skylarkwing::core
