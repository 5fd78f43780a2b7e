#include "daemon/status_reader.h"

#include "query/snapshot_choice.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace skylarkwing::daemon {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

/** Counts replicas by the name of their state. */
class StateCounter
{
public:
  void Add(std::string_view aState) { ++mCounts[std::string(aState)]; }

  std::vector<console::StateCount> List() const
  {
    std::vector<console::StateCount> list;
    for (const auto& [state, n] : mCounts) {
      list.push_back({ state, n });
    }
    return list;
  }

private:
  std::map<std::string, std::uint32_t> mCounts;
};

/** @return the status of a replica, null if no owner has reported it yet; shown as unknown. */
const upstream::ReplicaStatus*
FindStatus(const StatusSources& aSources, const std::string& aReplica)
{
  const auto it = aSources.statuses.find(aReplica);
  return it == aSources.statuses.end() ? nullptr : &it->second;
}

console::VmStatus
ReadVm(const membership::Member& aMember)
{
  console::VmStatus vm;
  vm.vm = aMember.vm;
  vm.state = membership::NameOf(aMember.state);
  vm.generation = aMember.generation;
  vm.load = aMember.load;
  return vm;
}

console::FailureDomainStatus
ReadFailureDomain(const StatusSources& aSources,
                  const declaration::FailureDomainDeclaration& aDomain)
{
  console::FailureDomainStatus status;
  status.name = aDomain.name;
  status.region = aDomain.region;
  status.out = aDomain.out;
  status.reason = aDomain.reason;
  for (const membership::Member& member : aSources.members) {
    if (member.failureDomain == aDomain.name) {
      status.vms.push_back(ReadVm(member));
    }
  }
  status.vmCount = static_cast<std::uint32_t>(status.vms.size());
  StateCounter states;
  for (const auto& index : aSources.declaration.indexes) {
    for (const auto& service : index.services) {
      for (const auto& replica : service.replicas) {
        if (replica.failureDomain != aDomain.name) {
          continue;
        }
        const upstream::ReplicaStatus* replicaStatus = FindStatus(aSources, replica.name);
        states.Add(
          upstream::NameOf(replicaStatus ? replicaStatus->state : upstream::ReplicaState::Unknown));
        status.inFlight += replicaStatus ? replicaStatus->inFlight : 0;
      }
    }
  }
  status.upstreams = states.List();
  return status;
}

void
AddShards(const upstream::ReplicaStatus& aReplicaStatus,
          std::uint64_t aSnapshot,
          std::set<std::uint32_t>& aShards)
{
  for (const upstream::SnapshotHolding& holding : aReplicaStatus.holdings) {
    if (holding.snapshot == aSnapshot) {
      aShards.insert(holding.shards.begin(), holding.shards.end());
    }
  }
}

void
ReadShards(const StatusSources& aSources,
           const declaration::ServiceDeclaration& aService,
           console::ServiceStatus& aStatus)
{
  std::set<std::uint32_t> all;
  std::set<std::uint32_t> held;
  for (const auto& replica : aService.replicas) {
    const upstream::ReplicaStatus* replicaStatus = FindStatus(aSources, replica.name);
    if (!replicaStatus) {
      continue;
    }
    AddShards(*replicaStatus, aStatus.snapshot, all);
    if (query::MayGetWork(replicaStatus->state)) {
      AddShards(*replicaStatus, aStatus.snapshot, held);
    }
  }
  // A service whose replicas have announced nothing holds at least one shard.
  aStatus.shards = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(all.size()));
  aStatus.shardsHeld = static_cast<std::uint32_t>(held.size());
  std::set_difference(
    all.begin(), all.end(), held.begin(), held.end(), std::back_inserter(aStatus.missingShards));
}

console::ServiceStatus
ReadService(const StatusSources& aSources,
            const declaration::IndexDeclaration& aIndex,
            const declaration::ServiceDeclaration& aService,
            std::uint64_t aSnapshot)
{
  console::ServiceStatus status;
  status.index = aIndex.name;
  status.service = aService.name;
  status.snapshot = aSnapshot;
  StateCounter states;
  std::uint32_t slowest = 0;
  for (const auto& replica : aService.replicas) {
    const upstream::ReplicaStatus* replicaStatus = FindStatus(aSources, replica.name);
    states.Add(
      upstream::NameOf(replicaStatus ? replicaStatus->state : upstream::ReplicaState::Unknown));
    if (!replicaStatus) {
      continue;
    }
    status.inFlight += replicaStatus->inFlight;
    status.allowance += replicaStatus->allowance;
    status.queued += replicaStatus->queued;
    slowest = std::max(slowest, replicaStatus->p99Microseconds);
  }
  status.replicas = states.List();
  status.p99Milliseconds = slowest / kMicrosecondsPerMillisecond;
  ReadShards(aSources, aService, status);
  return status;
}

} // namespace

std::vector<console::FailureDomainStatus>
ReadFailureDomains(const StatusSources& aSources)
{
  std::vector<console::FailureDomainStatus> domains;
  for (const auto& domain : aSources.declaration.failureDomains) {
    domains.push_back(ReadFailureDomain(aSources, domain));
  }
  return domains;
}

std::vector<console::ServiceStatus>
ReadServices(const StatusSources& aSources,
             const declaration::IndexDeclaration& aIndex,
             const std::shared_ptr<const query::IndexView>& aView)
{
  const auto choice = aView ? query::ChooseSnapshot(*aView, {}) : std::nullopt;
  const std::uint64_t snapshot = choice ? choice->snapshot : 0;
  std::vector<console::ServiceStatus> services;
  for (const auto& service : aIndex.services) {
    services.push_back(ReadService(aSources, aIndex, service, snapshot));
  }
  return services;
}

std::vector<console::ChangeStatus>
ReadHistory(const std::vector<declaration::ChangeRecord>& aHistory)
{
  std::vector<console::ChangeStatus> history;
  for (auto it = aHistory.rbegin(); it != aHistory.rend(); ++it) {
    history.push_back({ it->generation, it->author, it->reason, it->changes, it->writtenAt });
  }
  return history;
}

} // namespace skylarkwing::daemon
