#include "daemon/daemon_parts.h"

#include "membership/store_watchers.h"
#include "store/store_endpoint.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::daemon {

void
Daemon::Parts::WireStore()
{
  std::vector<store::StoreEndpoint> endpoints;
  for (const std::string& address : settings.storeEndpoints) {
    endpoints.push_back(store::MakeHttpEndpoint(loop.get_executor(), address));
  }
  storeClient = std::make_unique<store::StoreClient>(timers, random, metrics, std::move(endpoints));
  configurationStore = std::make_unique<store::ConfigurationStore>(
    timers, random, *storeClient, [this] { return keeper.InForce(); });

  store::ConfigurationWatchHooks hooks;
  hooks.isWatcher = [this] { return membership::IsStoreWatcher(membership->Table()); };
  hooks.isConfirmationNeeded = [this] { return connectivity->NeedsStore(); };
  hooks.memberCount = [this] { return LiveMembers(); };
  configurationWatch = std::make_unique<store::ConfigurationWatch>(
    timers, random, metrics, *storeClient, *configurationStore, keeper, std::move(hooks));
}

void
Daemon::Parts::WirePermits(upstream::DispatcherHooks& aHooks)
{
  membership::WarmupPromiseHooks promiseHooks;
  promiseHooks.holdsPermit = [this](const std::string& aReplica) {
    return permits && permits->MayHold(aReplica);
  };
  promises = std::make_unique<membership::WarmupPromises>(
    timers, random, metrics, *membership, std::move(promiseHooks));

  store::WarmupPermitHooks permitHooks;
  permitHooks.maxRequestDeadline = [this] { return LongestDeadline(); };
  permitHooks.memberCount = [this] { return LiveMembers(); };
  permitHooks.mayPromisesBeOutstanding = [this] {
    return connectivity->NeedsStore() || !storeClient->IsReachable();
  };
  permitHooks.requestPromises = [this](std::string aReplica) {
    return promises->RequestFromAll(std::move(aReplica));
  };
  permitHooks.promisedElsewhereUntil = [this](const std::string& aReplica) {
    return promises->PromisedElsewhereUntil(aReplica);
  };
  permitHooks.releasePromises = [this](const std::string& aReplica) {
    promises->Release(aReplica);
  };
  permits = std::make_unique<store::WarmupPermits>(loop.get_executor(),
                                                   timers,
                                                   random,
                                                   metrics,
                                                   *storeClient,
                                                   settings.vm + "." + incarnation,
                                                   std::move(permitHooks));

  aHooks.acquirePermit = [this](std::string aReplica) {
    return permits->Acquire(std::move(aReplica));
  };
  aHooks.isPermitHeld = [this](const std::string& aReplica) { return permits->IsHeld(aReplica); };
  aHooks.releasePermit = [this](const std::string& aReplica) { permits->Release(aReplica); };
}

core::Duration
Daemon::Parts::LongestDeadline() const
{
  std::chrono::milliseconds longest{ 0 };
  const auto inForce = keeper.InForce();
  if (inForce) {
    for (const declaration::ProfileDeclaration& profile : inForce->declaration.profiles) {
      longest = std::max(longest, profile.longestDeadline);
    }
  }
  return longest;
}

} // namespace skylarkwing::daemon
