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

/** The layout of BurnTracker::Snapshot(); another one is not merged. */
constexpr int kBurnSnapshotVersion = 1;

/** What a caller got for one query. */
struct AnswerOutcome
{
  std::string profile;
  /** From the query's arrival to its answer. */
  core::Duration latency{};
  /** The system refused it, for example as overloaded; a caller's own mistake is not recorded. */
  bool isRefused = false;
  bool isComplete = true;
  /** The parts that spoilt it, as far as they are known. */
  std::vector<ShardFault> faults;
};

/** How much a snapshot tells. */
enum class BurnDetail
{
  /** The sums of the windows, for screens. */
  Windows,
  /** The course over time and the worst shards as well, for reports. */
  Full,
};

/**
 * Counts what callers got against the objectives of their profiles, on one daemon and in bounded
 * space. Nothing of it outlives the process; a snapshot says since when it counts.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class BurnTracker
{
public:
  /** @param aMetrics where answers are counted by profile as well; null for nowhere. */
  explicit BurnTracker(core::TimerService& aTimers, core::Metrics* aMetrics = nullptr);

  /** Takes the objectives of a declaration; profiles that it lacks are forgotten. */
  void SetProfiles(const std::vector<declaration::ProfileDeclaration>& aProfiles);

  /** Counts one answer or refusal; one of an unknown profile is ignored. */
  void Record(const AnswerOutcome& aOutcome);

  /** @return what was counted here, for BurnMerger on this or another daemon. */
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
    /** Null when nothing is counted there. */
    prometheus::Counter* totalCounter = nullptr;
    prometheus::Counter* slowCounter = nullptr;
    prometheus::Counter* incompleteCounter = nullptr;
    /** Latencies of the present and the previous span of kLatencySpan. */
    LatencyHistogram presentLatencies;
    LatencyHistogram previousLatencies;
    core::TimePoint presentSince{};

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
