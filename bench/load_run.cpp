#include "bench/load_run.h"

#include <thread>

namespace skylarkwing::bench {

namespace {

constexpr std::chrono::milliseconds kTick{ 20 };
/** After the load, for queries whose caller gave up and for late parts. */
constexpr std::chrono::seconds kSettleTime{ 8 };

} // namespace

LoadRun::LoadRun(const ClusterFixture& aCluster, const LoadOptions& aOptions)
  : mEnd(std::chrono::steady_clock::now() + aOptions.length)
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
  const bool isTooLate = std::chrono::steady_clock::now() > mEnd + kSettleTime;
  return isTooLate || mThread.Run([this] { return mDriver->IsDone(); });
}

LoadResult
LoadRun::Finish()
{
  while (!IsOver()) {
    std::this_thread::sleep_for(kTick);
  }
  return Result();
}

} // namespace skylarkwing::bench
