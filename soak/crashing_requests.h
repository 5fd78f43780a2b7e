#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "net/http_message.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace skylarkwing::soak {

/** What the crashing requests need to know of the daemons. */
struct CrashingRequestHooks
{
  std::function<std::size_t()> daemonCount;
  std::function<std::string(std::size_t)> addressOf;
  /** @return whether a daemon and its way to the store were undisturbed for the contact time. */
  std::function<bool(std::size_t)> isInTouch;
  /** Called with the id of each request that was refused as not run. */
  std::function<void(const std::string&)> onRefused;
};

/**
 * Callers whose requests end each replica that runs them, and that send them again and again to any
 * daemon: one for a request to one replica, one that may run once, and one for a query.
 */
class CrashingRequests
{
public:
  /** Time after the third end from which a request may reach replicas in three retries only. */
  static constexpr core::Duration kContactTime = std::chrono::seconds{ 5 };

  CrashingRequests(boost::asio::io_context& aLoop,
                   core::TimerService& aTimers,
                   std::uint64_t aSeed,
                   CrashingRequestHooks aHooks);

  /** Sends requests until Stop(). */
  void Start();

  void Stop() { mIsStopped = true; }

  /** @return whether the replica that begins to run a request ends; records the run. */
  bool OnRun(const net::HttpRequest& aRequest);

  /** @return a description of each request that ended too many replicas. */
  std::vector<std::string> Check() const;

  std::uint64_t Ends() const;

private:
  /** One request that ends replicas. */
  struct Caller
  {
    std::string target;
    std::uint64_t ends = 0;
    std::uint64_t lateRuns = 0;
    core::TimePoint thirdEndAt{};
  };

  boost::asio::io_context& mLoop;
  core::TimerService& mTimers;
  core::RandomSource mRandom;
  CrashingRequestHooks mHooks;
  std::array<Caller, 3> mCallers;
  std::uint64_t mLastId = 0;
  bool mIsStopped = false;

  core::Task<void> Run(Caller& aCaller);
};

} // namespace skylarkwing::soak
