#include "console/cluster_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <tuple>

namespace skylarkwing::console {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StateCount, state, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmStatus, vm, state, generation, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FailureDomainStatus,
                                                name,
                                                region,
                                                out,
                                                reason,
                                                vms,
                                                vmCount,
                                                upstreams,
                                                inFlight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceStatus,
                                                index,
                                                service,
                                                snapshot,
                                                shards,
                                                shardsHeld,
                                                missingShards,
                                                replicas,
                                                p99Milliseconds,
                                                inFlight,
                                                allowance,
                                                queued)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeStatus,
                                                generation,
                                                author,
                                                reason,
                                                changes,
                                                writtenAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QuarantineStatus,
                                                fingerprint,
                                                index,
                                                crashedReplicas,
                                                since)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProfileStatus,
                                                profile,
                                                queriesPerSecond,
                                                latencyBurn5m,
                                                latencyBurn1h,
                                                coverageBurn5m,
                                                coverageBurn1h,
                                                latencyUrgency,
                                                coverageUrgency,
                                                p99Milliseconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClusterStatus,
                                                deployment,
                                                vm,
                                                generation,
                                                inForce,
                                                members,
                                                missingVms,
                                                storeReachable,
                                                isolated,
                                                failureDomains,
                                                services,
                                                serviceCount,
                                                profiles,
                                                quarantine,
                                                history)

namespace {

constexpr std::string_view kAliveState = "alive";

template<typename T>
void
Truncate(std::vector<T>& aList, std::size_t aBound)
{
  if (aList.size() > aBound) {
    aList.resize(aBound);
  }
}

void
BoundVms(FailureDomainStatus& aDomain, std::uint64_t aGeneration, std::size_t aBound)
{
  aDomain.vmCount = std::max(aDomain.vmCount, static_cast<std::uint32_t>(aDomain.vms.size()));
  const auto isHealthy = [aGeneration](const VmStatus& aVm) {
    return aVm.state == kAliveState && aVm.generation >= aGeneration;
  };
  const auto isWorse = [&isHealthy](const VmStatus& aLeft, const VmStatus& aRight) {
    if (isHealthy(aLeft) != isHealthy(aRight)) {
      return isHealthy(aRight);
    }
    return aLeft.vm < aRight.vm;
  };
  std::sort(aDomain.vms.begin(), aDomain.vms.end(), isWorse);
  Truncate(aDomain.vms, aBound);
}

void
BoundServices(ClusterStatus& aStatus, const StatusBounds& aBounds)
{
  const auto total = static_cast<std::uint32_t>(aStatus.services.size());
  aStatus.serviceCount = std::max(aStatus.serviceCount, total);
  const auto isWorse = [](const ServiceStatus& aLeft, const ServiceStatus& aRight) {
    if (LacksShards(aLeft) != LacksShards(aRight)) {
      return LacksShards(aLeft);
    }
    return std::tie(aLeft.index, aLeft.service) < std::tie(aRight.index, aRight.service);
  };
  std::sort(aStatus.services.begin(), aStatus.services.end(), isWorse);
  Truncate(aStatus.services, aBounds.services);
  for (ServiceStatus& service : aStatus.services) {
    Truncate(service.missingShards, aBounds.missingShards);
  }
}

} // namespace

bool
LacksShards(const ServiceStatus& aService)
{
  return aService.shards == 0 || aService.shardsHeld < aService.shards;
}

void
BoundStatus(ClusterStatus& aStatus, const StatusBounds& aBounds)
{
  for (FailureDomainStatus& domain : aStatus.failureDomains) {
    BoundVms(domain, aStatus.generation, aBounds.vmsPerFailureDomain);
  }
  BoundServices(aStatus, aBounds);
  Truncate(aStatus.missingVms, aBounds.missingVms);
  Truncate(aStatus.quarantine, aBounds.quarantine);
  Truncate(aStatus.history, aBounds.history);
}

nlohmann::json
ToJson(const ClusterStatus& aStatus)
{
  return aStatus;
}

std::optional<ClusterStatus>
ClusterStatusFromJson(const nlohmann::json& aJson)
{
  if (!aJson.is_object()) {
    return std::nullopt;
  }
  try {
    return aJson.get<ClusterStatus>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

nlohmann::json
ToJson(const std::vector<ChangeStatus>& aHistory)
{
  return aHistory;
}

nlohmann::json
ToJson(const std::vector<QuarantineStatus>& aQuarantine)
{
  return aQuarantine;
}

} // namespace skylarkwing::console
