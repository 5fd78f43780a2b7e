#include "daemon/daemon_parts.h"

#include <utility>

namespace skylarkwing::daemon {

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
  return std::nullopt;
}

} // namespace skylarkwing::daemon
