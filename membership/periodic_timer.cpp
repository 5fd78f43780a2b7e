#include "membership/periodic_timer.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

constexpr double kJitterShare = 0.1;

core::Duration
ScaleDuration(core::Duration aDuration, double aFactor)
{
  const double ticks = static_cast<double>(aDuration.count()) * aFactor;
  return core::Duration(static_cast<core::Duration::rep>(ticks));
}

} // namespace

PeriodicTimer::PeriodicTimer(core::TimerService& aTimers, core::RandomSource& aRandom)
  : mTimers(aTimers)
  , mRandom(aRandom)
{
}

PeriodicTimer::~PeriodicTimer()
{
  Stop();
}

void
PeriodicTimer::Start(core::Duration aPeriod, Callback aCallback)
{
  Stop();
  mPeriod = aPeriod;
  mCallback = std::move(aCallback);
  ScheduleNext(ScaleDuration(mPeriod, mRandom.Fraction()));
}

void
PeriodicTimer::Stop()
{
  mTimers.Cancel(mTimer);
  mTimer = 0;
}

void
PeriodicTimer::ScheduleNext(core::Duration aDelay)
{
  mDue = mTimers.Now() + aDelay;
  mTimer = mTimers.Schedule(aDelay, [this] { Run(); });
}

void
PeriodicTimer::Run()
{
  const core::Duration lateness = mTimers.Now() - mDue;
  ScheduleNext(ScaleDuration(mPeriod, mRandom.Jitter(1.0, kJitterShare)));
  mCallback(lateness);
}

} // namespace skylarkwing::membership
