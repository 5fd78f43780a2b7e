#include "query/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwing::query {

namespace {

/** Replicas have similar costs when the costs differ by at most this share. */
constexpr double kSimilarCostShare = 0.1;

/** Probability of choosing a cold or unknown replica over warm ones, so that it warms up. */
constexpr double kColdPickProbability = 0.05;

/**
 * A hedge may use a replica with up to this multiple of its allowance in use: waiting for one more
 * round of requests takes far less time than a straggler.
 */
constexpr std::uint32_t kHedgeAllowanceFactor = 2;

/** Assumed latency of a replica without measurements. */
constexpr double kDefaultLatencyMicroseconds = 5000.0;

/** @return whether a replica may get work but is not known to handle its full share of it. */
bool
IsUnproven(const IndexReplica& aReplica)
{
  return aReplica.state == upstream::ReplicaState::Cold ||
         aReplica.state == upstream::ReplicaState::Unknown;
}

} // namespace

ReplicaChooser::ReplicaChooser(core::RandomSource& aRandom,
                               std::string aFailureDomain,
                               OneWayLatency aOneWayLatency)
  : mRandom(aRandom)
  , mFailureDomain(std::move(aFailureDomain))
  , mOneWayLatency(std::move(aOneWayLatency))
{
}

const IndexReplica*
ReplicaChooser::Choose(const IndexView& aView,
                       const std::vector<std::size_t>& aHolders,
                       const std::set<std::string>& aExcluded,
                       AttemptKind aKind)
{
  std::vector<const IndexReplica*> best;
  std::vector<const IndexReplica*> cold;
  Tier bestTier = Tier::Never;
  for (const std::size_t position : aHolders) {
    const IndexReplica& replica = aView.replicas[position];
    const Tier tier = TierOf(replica, aKind);
    if (tier == Tier::Never || aExcluded.contains(replica.replica)) {
      continue;
    }
    if (IsUnproven(replica) && HasCapacity(replica)) {
      cold.push_back(&replica);
    }
    if (tier < bestTier) {
      best.clear();
      bestTier = tier;
    }
    if (tier == bestTier) {
      best.push_back(&replica);
    }
  }
  if (aKind == AttemptKind::First && !cold.empty() && mRandom.Fraction() < kColdPickProbability) {
    return ChooseOfTwo(cold);
  }
  return best.empty() ? nullptr : ChooseOfTwo(best);
}

void
ReplicaChooser::RecordSent(const std::string& aReplica)
{
  ++mOutstanding[aReplica];
}

void
ReplicaChooser::RecordEnded(const std::string& aReplica)
{
  const auto it = mOutstanding.find(aReplica);
  if (it != mOutstanding.end() && --it->second == 0) {
    mOutstanding.erase(it);
  }
}

std::uint32_t
ReplicaChooser::Outstanding(const std::string& aReplica) const
{
  const auto it = mOutstanding.find(aReplica);
  return it == mOutstanding.end() ? 0 : it->second;
}

ReplicaChooser::Tier
ReplicaChooser::TierOf(const IndexReplica& aReplica, AttemptKind aKind) const
{
  if (!MayGetWork(aReplica.state)) {
    return Tier::Never;
  }
  if (aKind == AttemptKind::Hedge && !HasHedgeCapacity(aReplica)) {
    return Tier::Never;
  }
  if (aReplica.allowance == 0) {
    return Tier::LastResort;
  }
  if (IsUnproven(aReplica)) {
    return Tier::Reserve;
  }
  return Tier::Preferred;
}

bool
ReplicaChooser::HasCapacity(const IndexReplica& aReplica) const
{
  const std::uint32_t busy = std::max(aReplica.inFlight, Outstanding(aReplica.replica));
  return busy < aReplica.allowance;
}

bool
ReplicaChooser::HasHedgeCapacity(const IndexReplica& aReplica) const
{
  if (IsUnproven(aReplica)) {
    return HasCapacity(aReplica);
  }
  const std::uint32_t busy = std::max(aReplica.inFlight, Outstanding(aReplica.replica));
  return busy < kHedgeAllowanceFactor * aReplica.allowance;
}

double
ReplicaChooser::Cost(const IndexReplica& aReplica) const
{
  // The owner's count is delayed and already includes older parts of this daemon.
  const std::uint32_t busy = std::max(aReplica.inFlight, Outstanding(aReplica.replica));
  const double share = (busy + 1.0) / std::max(aReplica.allowance, 1U);
  const double latency =
    aReplica.medianMicroseconds == 0 ? kDefaultLatencyMicroseconds : aReplica.medianMicroseconds;
  double cost = latency * std::max(share, 1.0) + latency * share;
  if (mOneWayLatency) {
    const auto latencyToOwner = mOneWayLatency(aReplica.owner);
    cost += 2.0 * std::chrono::duration<double, std::micro>(latencyToOwner).count();
  }
  return cost;
}

const IndexReplica*
ReplicaChooser::ChooseCheaper(const IndexReplica* aLeft, const IndexReplica* aRight) const
{
  const double left = Cost(*aLeft);
  const double right = Cost(*aRight);
  const bool isSimilar = std::abs(left - right) <= kSimilarCostShare * std::max(left, right);
  const bool isLeftLocal = aLeft->failureDomain == mFailureDomain;
  const bool isRightLocal = aRight->failureDomain == mFailureDomain;
  if (isSimilar && isLeftLocal != isRightLocal) {
    return isLeftLocal ? aLeft : aRight;
  }
  return left <= right ? aLeft : aRight;
}

const IndexReplica*
ReplicaChooser::ChooseOfTwo(const std::vector<const IndexReplica*>& aCandidates)
{
  if (aCandidates.size() == 1) {
    return aCandidates.front();
  }
  const std::size_t first = mRandom.Below(aCandidates.size());
  std::size_t second = mRandom.Below(aCandidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  return ChooseCheaper(aCandidates[first], aCandidates[second]);
}

} // namespace skylarkwing::query
