#include "upstream/fleet_weights.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace skylarkwing::upstream {

namespace {

/** Keeps a share such as 2.0 from being truncated to 1 by floating-point rounding. */
constexpr double kRoundingSlack = 1e-9;

/**
 * Connections that a daemon may always open, whatever its share; few daemons do so at the same
 * time.
 */
constexpr std::uint32_t kMinNear = 2;
constexpr std::uint32_t kMinFar = 1;

} // namespace

void
FleetWeights::Add(FleetMember aMember)
{
  domains[aMember.failureDomain] += aMember.weight;
  members.push_back(std::move(aMember));
}

void
FleetWeights::AddUnlisted(const FleetMember& aMember)
{
  domains[aMember.failureDomain] += aMember.weight;
}

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
MaySendCold(const std::vector<FleetMember>& aMembers,
            const std::string& aOwnVm,
            const std::string& aReplica)
{
  // Rendezvous hashing: all daemons compute the same senders, and few of them change with the
  // fleet.
  const std::hash<std::string> hash;
  const std::size_t own = hash(aOwnVm + aReplica);
  std::size_t before = 0;
  for (const FleetMember& member : aMembers) {
    before += member.vm != aOwnVm && hash(member.vm + aReplica) < own ? 1 : 0;
  }
  return before < kColdSenders;
}

} // namespace skylarkwing::upstream
