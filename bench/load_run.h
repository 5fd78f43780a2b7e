#pragma once

#include "bench/cluster_fixture.h"
#include "bench/load_driver.h"
#include "bench/loop_thread.h"

#include <chrono>
#include <memory>

namespace skylarkwing::bench {

/** Callers on a thread of their own, from their start until their last query has ended. */
class LoadRun
{
public:
  /** Starts the load on a cluster. */
  LoadRun(const ClusterFixture& aCluster, const LoadOptions& aOptions);
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;
  ~LoadRun();

  /** @return the callers; to be used on their thread only. */
  LoadDriver& Driver() { return *mDriver; }

  /** @return the callers' thread. */
  LoopThread& Thread() { return mThread; }

  /** @return what callers saw so far. */
  LoadResult Result();

  /** @return whether every query has ended, or too much time has passed. */
  bool IsOver();

  /** Waits until the load is over. @return what callers saw. */
  LoadResult Finish();

private:
  std::chrono::steady_clock::time_point mEnd;
  LoopThread mThread{ "callers" };
  std::unique_ptr<LoadDriver> mDriver;
};

} // namespace skylarkwing::bench
