#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"

#include <functional>

namespace skylarkwing::membership {

/** Calls back periodically, with jitter so that daemons started together do not synchronize. */
class PeriodicTimer
{
public:
  /** Receives how late the call is, which is long after a pause of this process. */
  using Callback = std::function<void(core::Duration aLateness)>;

  PeriodicTimer(core::TimerService& aTimers, core::RandomSource& aRandom);
  PeriodicTimer(const PeriodicTimer&) = delete;
  PeriodicTimer& operator=(const PeriodicTimer&) = delete;
  ~PeriodicTimer();

  /** Starts; the first call comes after a random fraction of the period. */
  void Start(core::Duration aPeriod, Callback aCallback);

  /** Sets the period, which takes effect after the next call. */
  void SetPeriod(core::Duration aPeriod) { mPeriod = aPeriod; }

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
