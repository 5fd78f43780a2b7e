#include "bench/load_run.h"

#include <thread>

namespace skylarkwing::bench {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };
/** Time after the schedule for late answers and for queries whose caller timed out. */
constexpr std::chrono::seconds kSettleTimeout{ 8 };

} // namespace

LoadRun::LoadRun(const ClusterFixture& aCluster, const LoadOptions& aOptions)
  : mScheduleEnd(std::chrono::steady_clock::now() + aOptions.length)
{
  mDriver = mThread.Run([&] {
    return std::make_unique<LoadDriver>(
      mThread.Loop(), mThread.Timers(), aOptions, aCluster.Reference(), aCluster.Runs());
  });
  mThread.Run([this] { mDriver->Start(); });
}

LoadRun::~LoadRun()
{
  mThread.Run([this] { mDriver.reset(); });
  mThread.Stop();
}

LoadResult
LoadRun::Result()
{
  return mThread.Run([this] { return mDriver->Result(); });
}

bool
LoadRun::IsOver()
{
  const bool hasTimedOut = std::chrono::steady_clock::now() > mScheduleEnd + kSettleTimeout;
  return hasTimedOut || mThread.Run([this] { return mDriver->IsDone(); });
}

LoadResult
LoadRun::Finish()
{
  while (!IsOver()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return Result();
}

} // namespace skylarkwing::bench
