#include "upstream/replica_choice.h"

#include "core/name_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<Proximity, 3> kProximityNames{
  { "own_domain", "own_region", "other_region" }
};

core::Duration
Scale(core::Duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<core::Duration>(aSpan * aFactor);
}

} // namespace

std::string_view
NameOf(Proximity aProximity)
{
  return kProximityNames.NameOf(aProximity);
}

core::Duration
ExpectedTime(const ReplicaCandidate& aReplica)
{
  const double slots = std::max<double>(1.0, aReplica.slots);
  const double ahead = static_cast<double>(aReplica.waiting) + aReplica.inFlight;
  // Nothing queues while the slots suffice; the small second term spreads requests over equal
  // replicas.
  const double queue = std::max(0.0, ahead + 1.0 - slots) / slots + 0.1 * ahead / slots;
  core::Duration expected = aReplica.typicalTime + Scale(aReplica.serviceTime, queue);
  if (aReplica.isCold) {
    expected = Scale(expected, kColdFactor);
  }
  if (IsStalled(aReplica)) {
    expected += std::max(kMinStallRemaining, aReplica.stalledFor / 2);
  }
  if (aReplica.isSuspect) {
    expected += kSuspectPenalty;
  }
  return expected;
}

bool
IsStalled(const ReplicaCandidate& aReplica)
{
  return aReplica.stalledFor > Scale(aReplica.typicalTime, kStallFactor);
}

core::Duration
ExpectedCost(const ReplicaCandidate& aReplica)
{
  return ExpectedTime(aReplica) + Scale(kFailureCost, aReplica.failureRate) + aReplica.price;
}

std::vector<double>
ShareAmongBest(const std::vector<ReplicaCandidate>& aReplicas, std::size_t aBest)
{
  const ReplicaCandidate& best = aReplicas[aBest];
  if (!best.reportsSpeed) {
    return {};
  }
  const core::Duration maxCost = Scale(ExpectedCost(best), kMaxSharedCost);
  std::vector<double> weights;
  std::size_t sharing = 0;
  for (const ReplicaCandidate& replica : aReplicas) {
    const core::Duration cost = ExpectedCost(replica);
    const bool shares = replica.hasRoom && replica.reportsSpeed &&
                        replica.proximity <= best.proximity &&
                        replica.isDeferred <= best.isDeferred && cost <= maxCost;
    sharing += shares ? 1 : 0;
    const double ratio = std::chrono::duration<double>(cost) / ExpectedCost(best);
    weights.push_back(shares ? std::pow(ratio, -kCostExponent) : 0.0);
  }
  return sharing > 1 ? weights : std::vector<double>();
}

std::size_t
DrawByWeight(const std::vector<double>& aWeights, double aFraction)
{
  double left = aFraction * std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  std::size_t last = 0;
  for (std::size_t n = 0; n < aWeights.size(); ++n) {
    if (aWeights[n] <= 0.0) {
      continue;
    }
    last = n;
    left -= aWeights[n];
    if (left < 0.0) {
      break;
    }
  }
  return last;
}

std::optional<std::size_t>
ChooseReplica(const std::vector<ReplicaCandidate>& aReplicas, std::uint64_t aTieBreak)
{
  std::optional<std::size_t> best;
  core::Duration bestTime{};
  const std::size_t n = aReplicas.size();
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t index = (i + aTieBreak) % n;
    if (!aReplicas[index].hasRoom) {
      continue;
    }
    const core::Duration time = ExpectedCost(aReplicas[index]);
    const bool isDeferred = aReplicas[index].isDeferred;
    if (!best || std::tie(isDeferred, time) < std::tie(aReplicas[*best].isDeferred, bestTime)) {
      best = index;
      bestTime = time;
    }
  }
  return best;
}

} // namespace skylarkwing::upstream
