#include "console/burn_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkwing::console {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardLocation, index, shard, failureDomain)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardFaultCount, place, missing, slow)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BurnHistory, vm, seconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DomainFaultCount, failureDomain, missing, slow)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WindowReport, window, counts, latencyBurn, coverageBurn, known)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProfileReport,
                                   profile,
                                   latencyMilliseconds,
                                   latencyShare,
                                   completeShare,
                                   p99Milliseconds,
                                   windows,
                                   latencyUrgency,
                                   coverageUrgency,
                                   latencyBudgetLeft,
                                   coverageBudgetLeft,
                                   minutes,
                                   hours)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BurnReport,
                                   deployment,
                                   madeAt,
                                   vms,
                                   missingVms,
                                   profiles,
                                   worstShards,
                                   worstDomains)

nlohmann::json
ToJson(const BurnReport& aReport)
{
  return aReport;
}

std::optional<BurnReport>
BurnReportFromJson(const nlohmann::json& aJson)
{
  try {
    return aJson.get<BurnReport>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

ProfileStatus
ToProfileStatus(const ProfileReport& aReport)
{
  ProfileStatus status;
  status.profile = aReport.profile;
  status.p99Milliseconds = aReport.p99Milliseconds;
  status.latencyUrgency = aReport.latencyUrgency;
  status.coverageUrgency = aReport.coverageUrgency;
  for (const WindowReport& window : aReport.windows) {
    if (window.window == NameOf(BurnWindow::FiveMinutes)) {
      const double seconds = static_cast<double>(SpanOf(BurnWindow::FiveMinutes).count());
      const double known = std::max(window.known * seconds, 1.0);
      status.queriesPerSecond = static_cast<double>(window.counts.total) / known;
      status.latencyBurn5m = window.latencyBurn;
      status.coverageBurn5m = window.coverageBurn;
    }
    if (window.window == NameOf(BurnWindow::OneHour)) {
      status.latencyBurn1h = window.latencyBurn;
      status.coverageBurn1h = window.coverageBurn;
    }
  }
  return status;
}

} // namespace skylarkwing::console
