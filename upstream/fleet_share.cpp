#include "upstream/fleet_share.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

/** Share of a replica's connections that the daemons near it hold. */
constexpr double kNearShare = 0.5;

/** Connections that a daemon may open at a time whatever its share; few daemons do at once. */
constexpr std::uint32_t kLeastNear = 2;
constexpr std::uint32_t kLeastFar = 1;

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

ConnectionQuota
SplitConnections(std::uint32_t aLimit, std::size_t aNear, std::size_t aTotal, bool aIsNear)
{
  const std::size_t total = std::max<std::size_t>(1, aTotal);
  const std::size_t near = std::min(aNear, total);
  const std::size_t far = total - near;
  const double limit = aLimit;
  double share = limit / static_cast<double>(total);
  if (near > 0 && far > 0) {
    share = aIsNear ? limit * kNearShare / static_cast<double>(near)
                    : limit * (1.0 - kNearShare) / static_cast<double>(far);
  }
  ConnectionQuota quota;
  quota.kept = static_cast<std::uint32_t>(share);
  quota.most = std::max(quota.kept, aIsNear ? kLeastNear : kLeastFar);
  return quota;
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
