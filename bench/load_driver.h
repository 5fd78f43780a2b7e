#pragma once

#include "bench/load_result.h"
#include "bench/naive_reference.h"
#include "core/timer_service.h"
#include "standin/run_ledger.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** One stream of queries. */
struct LoadStream
{
  std::string profile;
  std::string index;
  bool isIdempotent = true;
  std::chrono::milliseconds deadline{ 500 };
  double queriesPerSecond = 10.0;
};

/** What callers do. */
struct LoadOptions
{
  /** Addresses that callers know without asking. */
  std::vector<std::string> seeds;
  std::vector<LoadStream> streams;
  std::chrono::milliseconds length{ 10000 };
  /** Callers, each with its own entry points. */
  std::uint32_t callers = 8;
  /** Failure domains of the callers, given in turn. */
  std::vector<std::string> failureDomains;
  std::uint64_t seed = 1;
};

/**
 * Open-loop callers: queries start when the schedule says so, however slow the answers are, and
 * latency counts from that time. Every answer is checked against the naive reference.
 *
 * All calls on the loop's own thread.
 */
class LoadDriver
{
public:
  LoadDriver(boost::asio::io_context& aLoop,
             core::TimerService& aTimers,
             LoadOptions aOptions,
             std::shared_ptr<const NaiveReference> aReference,
             std::shared_ptr<const standin::RunLedger> aRuns);
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;
  ~LoadDriver();

  /** Begins the load. */
  void Start();

  /** Sends one search that crashes the upstreams that run it, several times, as a caller would. */
  void SendPoison(const std::string& aProfile, const std::string& aIndex, std::uint32_t aTimes);

  /** Multiplies the rate of every stream from now on. */
  void SetRateFactor(double aFactor);

  /** @return whether the schedule is over and every query has ended. */
  bool IsDone() const;

  /** @return what callers saw so far; false refusals are counted when the load is done. */
  LoadResult Result() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::bench
