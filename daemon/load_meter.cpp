#include "daemon/load_meter.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace skylarkwing::daemon {

namespace {

constexpr core::Duration kPeriod = std::chrono::seconds{ 1 };
/** Smoothing factor; limits the effect of a short burst, which must not drive callers away. */
constexpr double kSmoothingFactor = 0.3;

} // namespace

LoadMeter::LoadMeter(core::TimerService& aTimers, ProcessorTime aProcessorTime)
  : mTimers(aTimers)
  , mProcessorTime(std::move(aProcessorTime))
{
}

LoadMeter::~LoadMeter()
{
  mTimers.Cancel(mTimer);
}

void
LoadMeter::Start(std::function<void(double)> aReport)
{
  mReport = std::move(aReport);
  mLastTime = mTimers.Now();
  mLastUsed = mProcessorTime();
  mTimer = mTimers.Schedule(kPeriod, [this] { Measure(); });
}

core::Duration
LoadMeter::ThreadProcessorTime()
{
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds{ used.tv_sec } + std::chrono::nanoseconds{ used.tv_nsec };
}

void
LoadMeter::Measure()
{
  const core::TimePoint now = mTimers.Now();
  const core::Duration used = mProcessorTime();
  const double share = std::chrono::duration<double>(used - mLastUsed) /
                       std::chrono::duration<double>(now - mLastTime);
  mLoad += kSmoothingFactor * (std::clamp(share, 0.0, 1.0) - mLoad);
  mLastTime = now;
  mLastUsed = used;
  mTimer = mTimers.Schedule(kPeriod, [this] { Measure(); });
  mReport(mLoad);
}

} // namespace skylarkwing::daemon
