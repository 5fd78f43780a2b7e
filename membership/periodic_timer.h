#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"

#include <functional>

namespace skylarkwing::membership {

/** Calls back again and again, with jitter, so that daemons started together do not stay in step.
 */
class PeriodicTimer
{
public:
  /** Receives how much later than due the call runs: the time that this process stood still. */
  using Callback = std::function<void(core::Duration aLateness)>;

  PeriodicTimer(core::TimerService& aTimers, core::RandomSource& aRandom);
  PeriodicTimer(const PeriodicTimer&) = delete;
  PeriodicTimer& operator=(const PeriodicTimer&) = delete;
  ~PeriodicTimer();

  /** Starts, with the first call after a random part of one period. */
  void Start(core::Duration aPeriod, Callback aCallback);

  /** Changes the period from the next call on. */
  void SetPeriod(core::Duration aPeriod) { mPeriod = aPeriod; }

  /** Ends the calls. */
  void Stop();

private:
  void ScheduleNext(core::Duration aDelay);
  void Run();

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Duration mPeriod{};
  core::TimePoint mDue;
  core::TimerId mTimer = 0;
  Callback mCallback;
};

} // namespace skylarkwing::membership
