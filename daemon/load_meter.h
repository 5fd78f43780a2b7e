#pragma once

#include "core/timer_service.h"

#include <functional>

namespace skylarkwing::daemon {

/**
 * Measures the CPU usage of the event loop's thread as a smoothed fraction of one core.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class LoadMeter
{
public:
  /** @return CPU time used so far; only differences are meaningful. */
  using ProcessorTime = std::function<core::Duration()>;

  /** @param aProcessorTime CPU clock of the thread, normally ThreadProcessorTime(). */
  LoadMeter(core::TimerService& aTimers, ProcessorTime aProcessorTime);
  LoadMeter(const LoadMeter&) = delete;
  LoadMeter& operator=(const LoadMeter&) = delete;
  ~LoadMeter();

  /** Starts to measure and reports the load, 0 to 1, every second. */
  void Start(std::function<void(double aLoad)> aReport);

  /** @return CPU time of the calling thread. */
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
