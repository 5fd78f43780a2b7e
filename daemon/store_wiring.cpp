#include "daemon/daemon_parts.h"

#include "membership/store_watchers.h"
#include "store/store_endpoint.h"

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
  aHooks.acquirePermit = [](std::string) -> core::Task<bool> { co_return true; };
  aHooks.isPermitHeld = [](const std::string&) { return true; };
  aHooks.releasePermit = [](const std::string&) {};
}

} // namespace skylarkwing::daemon
