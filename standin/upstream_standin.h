#pragma once

#include "core/timer_service.h"
#include "standin/property_counts.h"
#include "standin/run_ledger.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** Who an upstream is, what it bears and how it behaves. */
struct UpstreamStandinOptions
{
  std::string replica;
  std::string index;
  std::string failureDomain;
  /** "IP:port"; port 0 picks a free one, which is then kept over restarts. */
  std::string address = "127.0.0.1:0";
  std::uint32_t slots = 3;
  std::uint32_t coldSlots = 1;
  std::uint32_t connections = 30;
  core::Duration connectTime = std::chrono::milliseconds{ 6 };
  /** Median of the time that a search runs. */
  core::Duration serviceTime = std::chrono::milliseconds{ 4 };
  /** Spread of that time: the sigma of a lognormal distribution. */
  double serviceSpread = 0.3;
  /** Share of searches that take longer by a factor, 0 to 1. */
  double stragglerShare = 0.01;
  double stragglerFactor = 10.0;
  /** How much longer a search takes while cold. */
  double coldFactor = 3.0;
  /** A process is cold at least this long, and until it has run some searches. */
  core::Duration coldTime = std::chrono::seconds{ 2 };
  std::uint32_t coldSearches = 5;
  bool startsWarm = true;
  /** How old the state is that the load endpoint reports. */
  core::Duration loadLag = std::chrono::seconds{ 1 };
  /** Time between a crash or restart and the next process. */
  core::Duration restartTime = std::chrono::milliseconds{ 300 };
  /** New work is counted as wrong when it comes this long after a notice to stay away. */
  core::Duration noticeAllowance = std::chrono::seconds{ 5 };
  /** How many replicas one search may crash. */
  std::size_t crashAllowance = 2;
  std::uint64_t seed = 1;
};

/** The records that all upstreams of an experiment share. */
struct UpstreamLedgers
{
  std::shared_ptr<RunLedger> runs;
  std::shared_ptr<CrashLedger> crashes;
};

/**
 * A small upstream behind the published protocol, with faults that can be switched on while it
 * runs.
 *
 * Searches are JSON objects: "kind" chooses documents; "token" names the logical request of a
 * search that is not idempotent; `"poison": true` crashes the process that runs it.
 *
 * All calls on the loop's own thread.
 */
class UpstreamStandin
{
public:
  UpstreamStandin(boost::asio::io_context& aLoop,
                  core::TimerService& aTimers,
                  UpstreamStandinOptions aOptions,
                  UpstreamLedgers aLedgers);
  UpstreamStandin(const UpstreamStandin&) = delete;
  UpstreamStandin& operator=(const UpstreamStandin&) = delete;
  ~UpstreamStandin();

  /** Listens with a new process. @return false when the address cannot be bound. */
  bool Start();

  /** Ends the process at once, as a crash or a lost VM does; it stays away until Start(). */
  void Stop();

  /** Stops, and starts a new cold process after the restart time. */
  void Restart();

  /** @return the bound "IP:port"; it stays the same over restarts. */
  const std::string& Address() const;

  /** @return who it is and how it behaves. */
  const UpstreamStandinOptions& Options() const;

  /** Makes the running process cold again without any sign but its answers. */
  void TurnCold();

  /** Announces that the process leaves: it refuses new searches and finishes what runs. */
  void Drain();

  /** Closes every connection and goes on with the same process. */
  void DropConnections();

  /** Says that operators took its failure domain out, or brought it back. */
  void SetDomainOut(bool aIsOut);

  /** Refuses every search as overloaded. */
  void SetRefusing(bool aIsRefusing);

  /** Searches only half of each shard and says so. */
  void SetPartial(bool aIsPartial);

  /** Changes how many searches are slow, and by how much. */
  void SetStragglers(double aShare, double aFactor);

  /** Takes up shards of a version of the index. */
  void AddVersion(std::uint64_t aSnapshot,
                  std::uint32_t aShardCount,
                  const std::vector<std::uint32_t>& aShards);

  /** Drops a version; searches for it are then refused. */
  void RemoveVersion(std::uint64_t aSnapshot);

  /** @return how often a property was seen broken here. */
  const PropertyCounts& Properties() const;

  /** @return what it was asked to do. */
  const UpstreamLoad& Load() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::standin
