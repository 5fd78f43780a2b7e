#pragma once

#include "console/burn_ring.h"
#include "console/latency_histogram.h"
#include "console/shard_fault_table.h"
#include "core/metrics.h"
#include "core/timer_service.h"
#include "declaration/declaration.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** Layout version of BurnTracker::Snapshot(); BurnMerger rejects other versions. */
constexpr int kBurnSnapshotVersion = 1;

/** Outcome of one query as its caller saw it. */
struct AnswerOutcome
{
  std::string profile;
  /** Time from the query's arrival to its answer. */
  core::Duration latency{};
  /** Refused by the system, for example on overload; caller errors are not recorded. */
  bool isRefused = false;
  bool isComplete = true;
  /** The shards that made it late or incomplete, as far as known. */
  std::vector<ShardFault> faults;
};

/** Level of detail of a snapshot. */
enum class BurnDetail
{
  /** Window sums only, for the screens. */
  Windows,
  /** Also time series and the worst shards, for reports. */
  Full,
};

/**
 * Counts query outcomes against the objectives of their profiles, on one daemon and in bounded
 * memory. Counts are lost with the process; a snapshot states the length of its history.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class BurnTracker
{
public:
  /** @param aMetrics also counts answers by profile there; null to disable. */
  explicit BurnTracker(core::TimerService& aTimers, core::Metrics* aMetrics = nullptr);

  /** Sets the objectives of a declaration; counts of profiles that it lacks are dropped. */
  void SetProfiles(const std::vector<declaration::ProfileDeclaration>& aProfiles);

  /** Counts one answer or refusal; one of an unknown profile is ignored. */
  void Record(const AnswerOutcome& aOutcome);

  /** @return the counts of this daemon, for BurnMerger on this or another daemon. */
  nlohmann::json Snapshot(BurnDetail aDetail);

private:
  struct ProfileCounts
  {
    ProfileCounts();

    declaration::Objective objective;
    BurnRing tenSeconds;
    BurnRing minutes;
    BurnRing fiveMinutes;
    BurnRing hours;
    /** Null when metrics are disabled. */
    prometheus::Counter* totalCounter = nullptr;
    prometheus::Counter* slowCounter = nullptr;
    prometheus::Counter* incompleteCounter = nullptr;
    /** Latencies of the current and the previous interval of kLatencySpan. */
    LatencyHistogram currentLatencies;
    LatencyHistogram previousLatencies;
    core::TimePoint currentSince{};

    void Add(core::TimePoint aNow, const BurnCounts& aCounts);
    void RotateLatencies(core::TimePoint aNow);
    BurnCounts Sum(core::TimePoint aNow, BurnWindow aWindow) const;
  };

  core::TimerService& mTimers;
  core::Metrics* mMetrics;
  core::TimePoint mStartedAt;
  std::map<std::string, ProfileCounts> mProfiles;
  ShardFaultTable mFaults;

  void RegisterCounters(const std::string& aName, ProfileCounts& aProfile) const;
  nlohmann::json ProfileSnapshot(const std::string& aName,
                                 ProfileCounts& aProfile,
                                 BurnDetail aDetail) const;
};

} // namespace skylarkwing::console
