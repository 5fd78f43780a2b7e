#include "upstream/replica_choice.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

core::Duration
Scale(core::Duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<core::Duration>(aSpan * aFactor);
}

} // namespace

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
  if (aReplica.stalledFor > Scale(aReplica.typicalTime, kStallFactor)) {
    expected += std::max(kMinStallRemaining, aReplica.stalledFor / 2);
  }
  if (aReplica.isSuspect) {
    expected += kSuspectPenalty;
  }
  return expected;
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
    const core::Duration time =
      ExpectedTime(aReplicas[index]) + Scale(kFailureCost, aReplicas[index].failureRate);
    if (!best || time < bestTime) {
      best = index;
      bestTime = time;
    }
  }
  return best;
}

} // namespace skylarkwing::upstream
