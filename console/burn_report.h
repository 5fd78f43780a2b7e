#pragma once

#include "console/burn_ring.h"
#include "console/burn_window.h"
#include "console/cluster_status.h"
#include "console/latency_histogram.h"
#include "console/shard_fault_table.h"
#include "declaration/declaration.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** Length of the history that one VM reported. */
struct BurnHistory
{
  std::string vm;
  std::uint64_t seconds = 0;
};

/** Counts and burn rates of one profile over one window, merged over all daemons. */
struct WindowReport
{
  /** The name of a BurnWindow. */
  std::string window;
  BurnCounts counts;
  double latencyBurn = 0.0;
  double coverageBurn = 0.0;
  /** Share of the window that the history of the VMs covers, averaged over VMs, 0 to 1. */
  double known = 0.0;
};

/** Service level of one profile. */
struct ProfileReport
{
  std::string profile;
  /** The objective: latency in milliseconds, and the shares of answers that must meet it (0 to 1).
   */
  std::int64_t latencyMilliseconds = 0;
  double latencyShare = 0.0;
  double completeShare = 0.0;
  /** 99th percentile latency of the last 5 to 10 minutes, in milliseconds; 0 without answers. */
  double p99Milliseconds = 0.0;
  std::vector<WindowReport> windows;
  /** Names of a BurnUrgency, computed from burn rates weighted by the known share of each window.
   */
  std::string latencyUrgency;
  std::string coverageUrgency;
  /**
   * Unspent share of the longest window's error budget; negative when it is overspent. Time without
   * history counts as unspent, as it does for the urgencies.
   */
  double latencyBudgetLeft = 1.0;
  double coverageBudgetLeft = 1.0;
  /** Counts per minute over the last hour, newest first. */
  std::vector<BurnCounts> minutes;
  /** Counts per hour over the last 3 days, newest first. */
  std::vector<BurnCounts> hours;
};

/** How often the shards of one failure domain made answers incomplete or slow. */
struct DomainFaultCount
{
  std::string failureDomain;
  std::uint64_t missing = 0;
  std::uint64_t slow = 0;
};

/** Service levels of the whole deployment. */
struct BurnReport
{
  std::string deployment;
  /** Milliseconds since the Unix epoch. */
  std::int64_t madeAt = 0;
  /** VMs whose counts are in the report. */
  std::vector<BurnHistory> vms;
  /** VMs that were expected to send counts and did not. */
  std::vector<std::string> missingVms;
  std::vector<ProfileReport> profiles;
  /** Shards and failure domains that degraded the most answers of the last hours, worst first. */
  std::vector<ShardFaultCount> worstShards;
  std::vector<DomainFaultCount> worstDomains;
};

/** @return the report as JSON, for the operators' API and `report burn --json`. */
nlohmann::json
ToJson(const BurnReport& aReport);

/** @return the report parsed from JSON, or nothing when the JSON has another layout. */
std::optional<BurnReport>
BurnReportFromJson(const nlohmann::json& aJson);

/** @return the summary of one profile that the shared screens show. */
ProfileStatus
ToProfileStatus(const ProfileReport& aReport);

/** Merges the BurnTracker snapshots of all daemons into one report. */
class BurnMerger
{
public:
  /** @param aProfiles profiles with their objectives; counts of other profiles are ignored. */
  explicit BurnMerger(const std::vector<declaration::ProfileDeclaration>& aProfiles);

  /**
   * Adds one VM's snapshot; a second snapshot of the same VM is ignored.
   *
   * @return false when the snapshot is malformed or of another version; none of it is counted then.
   */
  bool Merge(const std::string& aVm, const nlohmann::json& aSnapshot);

  /**
   * @param aDeployment the name of the deployment.
   * @param aMadeAt milliseconds since the Unix epoch.
   * @param aMissingVms VMs whose snapshots were not received.
   */
  BurnReport Report(std::string aDeployment,
                    std::int64_t aMadeAt,
                    std::vector<std::string> aMissingVms = {}) const;

private:
  struct ProfileSum
  {
    std::array<BurnCounts, kBurnWindowCount> windows;
    LatencyHistogram latencies;
    std::vector<BurnCounts> minutes;
    std::vector<BurnCounts> hours;

    void Add(const ProfileSum& aOther);
  };

  std::vector<declaration::ProfileDeclaration> mProfiles;
  std::vector<BurnHistory> mVms;
  std::map<std::string, ProfileSum> mSums;
  std::map<ShardLocation, ShardFaultCount> mFaults;

  static ProfileSum ReadProfile(const nlohmann::json& aProfile);
  static ShardFaultCount ReadFault(const nlohmann::json& aFault);
  ProfileReport ReportProfile(const declaration::ProfileDeclaration& aProfile) const;
  double CoveredShare(BurnWindow aWindow) const;
};

} // namespace skylarkwing::console
