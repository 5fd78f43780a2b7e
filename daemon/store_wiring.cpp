#include "daemon/daemon_parts.h"

#include "membership/store_watchers.h"
#include "store/store_endpoint.h"

#include <algorithm>
#include <chrono>
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
  hooks.isConfirmationNeeded = [this] {
    const membership::Contact contact = isolation->Present();
    return contact == membership::Contact::Minority || contact == membership::Contact::Nobody;
  };
  hooks.members = [this] { return LiveMembers(); };
  configurationWatch = std::make_unique<store::ConfigurationWatch>(
    timers, random, metrics, *storeClient, *configurationStore, keeper, std::move(hooks));
}

void
Daemon::Parts::WirePermits(upstream::DispatcherHooks& aHooks)
{
  membership::PromiseHooks promiseHooks;
  promiseHooks.holdsPermit = [this](const std::string& aReplica) {
    return permits->MayHold(aReplica);
  };
  promises = std::make_unique<membership::Promises>(
    timers, random, metrics, *membership, std::move(promiseHooks));

  store::WarmupPermitHooks permitHooks;
  permitHooks.longestDeadline = [this] { return LongestDeadline(); };
  permitHooks.members = [this] { return LiveMembers(); };
  permitHooks.promisesOfAllMembers = [this](std::string aReplica) {
    return promises->AskAll(std::move(aReplica));
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

  aHooks.acquirePermit = [this](std::string aName) { return permits->Acquire(std::move(aName)); };
  aHooks.isPermitHeld = [this](const std::string& aName) { return permits->IsHeld(aName); };
  aHooks.releasePermit = [this](const std::string& aName) { permits->Release(aName); };
}

core::Duration
Daemon::Parts::LongestDeadline() const
{
  core::Duration longest = std::chrono::seconds{ 1 };
  const auto configuration = keeper.InForce();
  if (!configuration) {
    return longest;
  }
  for (const auto& profile : configuration->declaration.profiles) {
    longest = std::max<core::Duration>(longest, profile.longestDeadline);
  }
  return longest;
}

} // namespace skylarkwing::daemon
