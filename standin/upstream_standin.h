#pragma once

#include "core/timer_service.h"
#include "standin/crash_ledger.h"
#include "standin/execution_counter.h"
#include "standin/property_counts.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** Identity, capacity and behavior of an upstream. */
struct UpstreamStandinOptions
{
  std::string replica;
  std::string index;
  std::string failureDomain;
  /** "IP:port"; port 0 picks a free one, which is kept across restarts. */
  std::string address = "127.0.0.1:0";
  std::uint32_t slots = 3;
  std::uint32_t coldSlots = 1;
  std::uint32_t connections = 30;
  core::Duration connectTime = std::chrono::milliseconds{ 6 };
  /** Median run time of a search. */
  core::Duration serviceTime = std::chrono::milliseconds{ 4 };
  /** Sigma of the lognormal distribution of the run time. */
  double serviceSpread = 0.3;
  /** Share of searches slowed down by the straggler factor, 0 to 1. */
  double stragglerShare = 0.01;
  double stragglerFactor = 10.0;
  /** Factor on the run time while the process is cold. */
  double coldFactor = 3.0;
  /** A process stays cold for at least this long and at least this many searches. */
  core::Duration coldTime = std::chrono::seconds{ 2 };
  std::uint32_t coldSearches = 5;
  bool startsWarm = true;
  /** Age of the state that the load endpoint reports. */
  core::Duration loadLag = std::chrono::seconds{ 1 };
  /** Time from a crash or restart until the next process starts. */
  core::Duration restartTime = std::chrono::milliseconds{ 300 };
  /** Searches this long after draining or leaving service was announced count as violations. */
  core::Duration noticeGracePeriod = std::chrono::seconds{ 5 };
  /** Number of replicas that one search may crash. */
  std::size_t crashAllowance = 2;
  std::uint64_t seed = 1;
};

/** Ledgers shared by all upstreams of an experiment. */
struct UpstreamLedgers
{
  std::shared_ptr<ExecutionCounter> runs;
  std::shared_ptr<CrashLedger> crashes;
};

/**
 * An upstream that serves generated shards over the upstream protocol. Faults can be injected while
 * it runs.
 *
 * Searches are JSON objects: "kind" filters documents; "token" identifies the logical request of
 * a non-idempotent search; `"poison": true` crashes the process that runs it.
 *
 * Call it only on the thread of its event loop.
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

  /** Starts a new process and listens. @return false if the address cannot be bound. */
  bool Start();

  /** Ends the process abruptly, like a crash or a lost VM. It stays down until Start(). */
  void Stop();

  /** Ends the process and starts a new cold one after the restart time. */
  void Restart();

  /** @return the bound "IP:port"; it stays the same across restarts. */
  const std::string& Address() const;

  const UpstreamStandinOptions& Options() const;

  /** Makes the running process cold again; only its responses report it. */
  void TurnCold();

  /** Starts draining: refuses new searches and finishes the running ones. */
  void Drain();

  /** Closes every connection; the process continues. */
  void DropConnections();

  /** Sets whether operators have taken its failure domain out of service. */
  void SetDomainOut(bool aIsOut);

  /** Sets whether every search is refused as overloaded. */
  void SetRefusing(bool aIsRefusing);

  /** Sets whether only half of each shard is searched and reported as incomplete. */
  void SetPartial(bool aIsPartial);

  /** Sets the share of slow searches, 0 to 1, and the factor on their run time. */
  void SetStragglers(double aShare, double aFactor);

  /** Adds shards of an index version. */
  void AddVersion(std::uint64_t aSnapshot,
                  std::uint32_t aShardCount,
                  const std::vector<std::uint32_t>& aShards);

  /** Removes an index version; searches for it are then refused. */
  void RemoveVersion(std::uint64_t aSnapshot);

  /** @return the property violations observed here. */
  const PropertyCounts& Properties() const;

  /** @return the load that it received. */
  const UpstreamLoad& Load() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::standin
