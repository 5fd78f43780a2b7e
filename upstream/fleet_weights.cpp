#include "upstream/fleet_weights.h"

#include <algorithm>
#include <functional>

namespace skylarkwing::upstream {

namespace {

/** Share of a replica's connections that goes to the daemons near it. */
constexpr double kNearShare = 0.5;

/** Keeps a share such as 2.0 from being truncated to 1 by floating-point rounding. */
constexpr double kRoundingSlack = 1e-9;

/**
 * Connections that a daemon may always open, whatever its share; few daemons do so at the same
 * time.
 */
constexpr std::uint32_t kMinNear = 2;
constexpr std::uint32_t kMinFar = 1;

} // namespace

double
FleetWeights::Total() const
{
  double sum = 0.0;
  for (const auto& [domain, weight] : domains) {
    sum += weight;
  }
  return std::max(sum, own);
}

ConnectionQuota
SplitConnections(std::uint32_t aLimit, double aNear, double aFar, double aOwn, bool aIsNear)
{
  const double limit = aLimit;
  double share = limit * aOwn / std::max(aOwn, aNear + aFar);
  if (aNear > 0.0 && aFar > 0.0) {
    share = aIsNear ? limit * kNearShare * aOwn / std::max(aOwn, aNear)
                    : limit * (1.0 - kNearShare) * aOwn / std::max(aOwn, aFar);
  }
  ConnectionQuota quota;
  quota.maxIdle = static_cast<std::uint32_t>(share + kRoundingSlack);
  quota.maxOpen = std::max(quota.maxIdle, aIsNear ? kMinNear : kMinFar);
  return quota;
}

bool
MaySendCold(const std::vector<std::string>& aVms,
            const std::string& aOwnVm,
            const std::string& aReplica)
{
  // Rendezvous hashing: all daemons compute the same senders, and few of them change with the
  // fleet.
  const std::hash<std::string> hash;
  const std::size_t own = hash(aOwnVm + aReplica);
  std::size_t before = 0;
  for (const std::string& vm : aVms) {
    before += vm != aOwnVm && hash(vm + aReplica) < own ? 1 : 0;
  }
  return before < kColdSenders;
}

bool
ColdRateLimiter::TryAcquire(double aRate, std::size_t aSenders, core::TimePoint aNow)
{
  const double rate = aRate / static_cast<double>(std::max<std::size_t>(1, aSenders));
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
