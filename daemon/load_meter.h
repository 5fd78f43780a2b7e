#pragma once

#include "core/timer_service.h"

#include <functional>

namespace skylarkwing::daemon {

/**
 * Measures how busy the event loop's thread is: the share of a core that it used lately, smoothed.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class LoadMeter
{
public:
  /** @return processor time used so far, for differences only. */
  using ProcessorTime = std::function<core::Duration()>;

  /** @param aProcessorTime what measures the thread; ThreadProcessorTime() in a process. */
  LoadMeter(core::TimerService& aTimers, ProcessorTime aProcessorTime);
  LoadMeter(const LoadMeter&) = delete;
  LoadMeter& operator=(const LoadMeter&) = delete;
  ~LoadMeter();

  /** Begins to measure, and reports the load, 0 to 1, every second. */
  void Start(std::function<void(double aLoad)> aReport);

  /** @return processor time of the calling thread. */
  static core::Duration ThreadProcessorTime();

private:
  void Measure();

  core::TimerService& mTimers;
  ProcessorTime mProcessorTime;
  std::function<void(double)> mReport;
  core::TimerId mTimer = 0;
  core::TimePoint mLastTime;
  core::Duration mLastUsed{};
  double mLoad = 0.0;
};

} // namespace skylarkwing::daemon
