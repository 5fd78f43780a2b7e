#pragma once

#include "bench/load_result.h"
#include "bench/naive_reference.h"
#include "core/timer_service.h"
#include "standin/execution_counter.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** Queries of one profile at a mean rate. */
struct LoadStream
{
  std::string profile;
  std::string index;
  bool isIdempotent = true;
  std::chrono::milliseconds deadline{ 500 };
  double queriesPerSecond = 10.0;
};

/** Options of the load. */
struct LoadOptions
{
  /** Entry point addresses that callers are configured with. */
  std::vector<std::string> seeds;
  std::vector<LoadStream> streams;
  std::chrono::milliseconds length{ 10000 };
  /** Number of callers, each with its own list of entry points. */
  std::uint32_t callers = 8;
  /** Failure domains of the callers, assigned round-robin. */
  std::vector<std::string> failureDomains;
  std::uint64_t seed = 1;
};

/**
 * Open-loop load generator: queries start on schedule, however slow the answers are, and latency is
 * measured from the scheduled start. Every answer is checked against the naive reference.
 *
 * All methods are called on the loop's thread.
 */
class LoadDriver
{
public:
  LoadDriver(boost::asio::io_context& aLoop,
             core::TimerService& aTimers,
             LoadOptions aOptions,
             std::shared_ptr<const NaiveReference> aReference,
             std::shared_ptr<const standin::ExecutionCounter> aRuns);
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;
  ~LoadDriver();

  /** Starts the load. */
  void Start();

  /** Sends a search that crashes the upstreams that execute it, `aTimes` times. */
  void SendPoison(const std::string& aProfile, const std::string& aIndex, std::uint32_t aTimes);

  /** Sets the factor by which the rate of every stream is multiplied. */
  void SetRateFactor(double aFactor);

  /** @return whether the schedule is complete and no query is running. */
  bool IsDone() const;

  /** @return the results so far; `falseNotRun` is final once IsDone(). */
  LoadResult Result() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::bench
