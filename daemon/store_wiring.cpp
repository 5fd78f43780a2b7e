#include "daemon/daemon_parts.h"

#include "declaration/configuration_codec.h"
#include "store/store_endpoint.h"

#include <utility>

namespace skylarkwing::daemon {

namespace {

constexpr const char* kConfigurationKey = "skylarkwing/configuration";
constexpr core::Duration kReadPeriod = std::chrono::milliseconds{ 500 };
constexpr core::Duration kReadTimeLimit = std::chrono::seconds{ 2 };

} // namespace

void
Daemon::Parts::WireStore()
{
  std::vector<store::StoreEndpoint> endpoints;
  for (const std::string& address : settings.storeEndpoints) {
    endpoints.push_back(store::MakeHttpEndpoint(loop.get_executor(), address));
  }
  storeClient = std::make_unique<store::StoreClient>(timers, random, metrics, std::move(endpoints));
}

core::Task<void>
Daemon::Parts::ReadConfiguration()
{
  while (!isCleanedUp) {
    const core::TimePoint start = timers.Now();
    store::RangeRequest request;
    request.key = kConfigurationKey;
    const store::RangeResult result =
      co_await storeClient->Range(std::move(request), kReadTimeLimit);
    if (result.error == store::StoreError::None && !result.values.empty()) {
      auto parsed = declaration::ParseConfiguration(result.values.front().value);
      if (parsed.configuration) {
        storeConfirmedAt = start;
        keeper.Offer(std::move(*parsed.configuration), "store");
      }
    }
    co_await core::Sleep(timers, kReadPeriod);
  }
}

void
Daemon::Parts::WirePermits(upstream::DispatcherHooks& aHooks)
{
  aHooks.acquirePermit = [](std::string) -> core::Task<bool> { co_return true; };
  aHooks.isPermitHeld = [](const std::string&) { return true; };
  aHooks.releasePermit = [](const std::string&) {};
}

std::optional<core::TimePoint>
Daemon::Parts::StoreConfirmedAt() const
{
  return storeConfirmedAt;
}

} // namespace skylarkwing::daemon
