#include "upstream/fleet_share.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

/** Share of a replica's connections that daemons in its own failure domain hold. */
constexpr double kNearShare = 2.0 / 3.0;

} // namespace

std::size_t
FleetSize::Total() const
{
  std::size_t n = 0;
  for (const auto& [domain, count] : daemons) {
    n += count;
  }
  return std::max<std::size_t>(1, n);
}

std::size_t
FleetSize::In(const std::string& aFailureDomain) const
{
  const auto it = daemons.find(aFailureDomain);
  return it == daemons.end() ? 0 : it->second;
}

std::uint32_t
ConnectionShare(std::uint32_t aLimit,
                const FleetSize& aFleet,
                const std::string& aOwnDomain,
                const std::string& aReplicaDomain)
{
  const std::size_t near = aFleet.In(aReplicaDomain);
  const std::size_t far = aFleet.Total() - std::min(near, aFleet.Total());
  const double limit = aLimit;
  double share = limit / static_cast<double>(aFleet.Total());
  if (near > 0 && far > 0) {
    share = aOwnDomain == aReplicaDomain ? limit * kNearShare / static_cast<double>(near)
                                         : limit * (1.0 - kNearShare) / static_cast<double>(far);
  }
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share));
}

bool
ColdRate::Take(double aRate, std::size_t aDaemons, core::TimePoint aNow)
{
  const double rate = aRate / static_cast<double>(std::max<std::size_t>(1, aDaemons));
  const std::chrono::duration<double> since = aNow - mRefilledAt;
  mTokens = std::min(1.0, mTokens + std::max(0.0, since.count()) * rate);
  mRefilledAt = aNow;
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace skylarkwing::upstream
