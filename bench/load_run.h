#pragma once

#include "bench/cluster_fixture.h"
#include "bench/load_driver.h"
#include "bench/loop_thread.h"

#include <chrono>
#include <memory>

namespace skylarkwing::bench {

/** Runs a LoadDriver on its own thread, from the start until the last query has ended. */
class LoadRun
{
public:
  /** Starts the load on a cluster. */
  LoadRun(const ClusterFixture& aCluster, const LoadOptions& aOptions);
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;
  ~LoadRun();

  /** @return the load driver; to be used on its thread only. */
  LoadDriver& Driver() { return *mDriver; }

  /** @return the thread of the load driver. */
  LoopThread& Thread() { return mThread; }

  /** @return the results so far. */
  LoadResult Result();

  /** @return whether every query has ended or the time limit has passed. */
  bool IsOver();

  /** Waits until the load is over. @return the results. */
  LoadResult Finish();

private:
  std::chrono::steady_clock::time_point mScheduleEnd;
  LoopThread mThread{ "callers" };
  std::unique_ptr<LoadDriver> mDriver;
};

} // namespace skylarkwing::bench
