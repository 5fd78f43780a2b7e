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

/** How far back one VM's counts go. */
struct BurnHistory
{
  std::string vm;
  std::uint64_t seconds = 0;
};

/** One profile over one window, all daemons together. */
struct WindowReport
{
  /** The name of a BurnWindow. */
  std::string window;
  BurnCounts counts;
  double latencyBurn = 0.0;
  double coverageBurn = 0.0;
  /** Share of the window that the VMs' counts reach over, on average, 0 to 1. */
  double known = 0.0;
};

/** One profile's service level. */
struct ProfileReport
{
  std::string profile;
  /** The objective: latency in milliseconds, and the shares that must be good. */
  std::int64_t latencyMilliseconds = 0;
  double latencyShare = 0.0;
  double completeShare = 0.0;
  /** 99th percentile of the last 5 to 10 minutes, in milliseconds; 0 without answers. */
  double p99Milliseconds = 0.0;
  std::vector<WindowReport> windows;
  /** The names of a BurnUrgency, judged by what of each window's budget is spent. */
  std::string latencyUrgency;
  std::string coverageUrgency;
  /**
   * Share of the longest window's error budget that is not spent, below 0 when more was spent. What
   * is not known of the window counts as not spent, as it does for the urgencies.
   */
  double latencyBudgetLeft = 1.0;
  double coverageBudgetLeft = 1.0;
  /** Counts by age in minutes over the last hour. */
  std::vector<BurnCounts> minutes;
  /** Counts by age in hours over the last 3 days. */
  std::vector<BurnCounts> hours;
};

/** A failure domain, and how often its shards spoilt answers. */
struct DomainFaultCount
{
  std::string failureDomain;
  std::uint64_t missing = 0;
  std::uint64_t slow = 0;
};

/** The service levels of the whole deployment. */
struct BurnReport
{
  std::string deployment;
  /** Milliseconds since the Unix epoch. */
  std::int64_t madeAt = 0;
  /** The VMs whose counts are in the report. */
  std::vector<BurnHistory> vms;
  /** The VMs that should have sent counts and did not. */
  std::vector<std::string> missingVms;
  std::vector<ProfileReport> profiles;
  /** The shards and failure domains that spoilt most answers of the last hours, worst first. */
  std::vector<ShardFaultCount> worstShards;
  std::vector<DomainFaultCount> worstDomains;
};

/** @return the report as JSON, for the operators' API and `report burn --json`. */
nlohmann::json
ToJson(const BurnReport& aReport);

/** @return the report that the JSON holds, or nothing when it is not one. */
std::optional<BurnReport>
BurnReportFromJson(const nlohmann::json& aJson);

/** @return the burn rates of one profile for screens. */
ProfileStatus
ToProfileStatus(const ProfileReport& aReport);

/** Adds the snapshots of all daemons' BurnTrackers and makes the report. */
class BurnMerger
{
public:
  /** @param aProfiles the profiles with their objectives; counts of others are ignored. */
  explicit BurnMerger(const std::vector<declaration::ProfileDeclaration>& aProfiles);

  /**
   * Adds one VM's snapshot; a second one of the same VM is ignored.
   *
   * @return false when it was not understood; nothing of it is counted then.
   */
  bool Merge(const std::string& aVm, const nlohmann::json& aSnapshot);

  /**
   * @param aDeployment the name of the deployment.
   * @param aMadeAt milliseconds since the Unix epoch.
   * @param aMissingVms the VMs whose snapshots did not come.
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
  std::map<ShardPlace, ShardFaultCount> mFaults;

  static ProfileSum ReadProfile(const nlohmann::json& aProfile);
  static ShardFaultCount ReadFault(const nlohmann::json& aFault);
  ProfileReport ReportProfile(const declaration::ProfileDeclaration& aProfile) const;
  double KnownShare(BurnWindow aWindow) const;
};

} // namespace skylarkwing::console
