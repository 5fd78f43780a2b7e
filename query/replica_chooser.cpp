#include "query/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwing::query {

namespace {

/** Replicas whose costs differ by less than this share are even. */
constexpr double kSimilarCostShare = 0.1;

/** A cold or unknown replica goes before warm ones with this probability, so that it warms up. */
constexpr double kColdPickProbability = 0.05;

/** A hedge may wait for one round of requests, which is far less than what a straggler takes. */
constexpr std::uint32_t kHedgeAllowanceFactor = 2;

/** Stands for the latency of a replica that has none measured. */
constexpr double kDefaultLatencyMicroseconds = 5000.0;

/** @return whether the replica bears work, and nothing shows yet that it bears its full share. */
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
                       const std::set<std::string>& aTried,
                       AttemptKind aKind)
{
  std::vector<const IndexReplica*> best;
  std::vector<const IndexReplica*> cold;
  Tier bestTier = Tier::Never;
  for (const std::size_t position : aHolders) {
    const IndexReplica& replica = aView.replicas[position];
    const Tier tier = TierOf(replica, aKind);
    if (tier == Tier::Never || aTried.contains(replica.replica)) {
      continue;
    }
    if (IsUnproven(replica) && HasRoom(replica)) {
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
  if (aKind == AttemptKind::Hedge && !HasHedgeRoom(aReplica)) {
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
ReplicaChooser::HasRoom(const IndexReplica& aReplica) const
{
  const std::uint32_t busy = std::max(aReplica.inFlight, Outstanding(aReplica.replica));
  return busy < aReplica.allowance;
}

bool
ReplicaChooser::HasHedgeRoom(const IndexReplica& aReplica) const
{
  if (IsUnproven(aReplica)) {
    return HasRoom(aReplica);
  }
  const std::uint32_t busy = std::max(aReplica.inFlight, Outstanding(aReplica.replica));
  return busy < kHedgeAllowanceFactor * aReplica.allowance;
}

double
ReplicaChooser::CostOf(const IndexReplica& aReplica) const
{
  // The owner's count includes parts of this asker, as of a moment ago.
  const std::uint32_t busy = std::max(aReplica.inFlight, Outstanding(aReplica.replica));
  const double share = (busy + 1.0) / std::max(aReplica.allowance, 1U);
  const double latency =
    aReplica.medianMicroseconds == 0 ? kDefaultLatencyMicroseconds : aReplica.medianMicroseconds;
  double cost = latency * std::max(share, 1.0) + latency * share;
  if (mOneWayLatency) {
    const auto way = mOneWayLatency(aReplica.owner);
    cost += 2.0 * std::chrono::duration<double, std::micro>(way).count();
  }
  return cost;
}

const IndexReplica*
ReplicaChooser::ChooseCheaper(const IndexReplica* aLeft, const IndexReplica* aRight) const
{
  const double left = CostOf(*aLeft);
  const double right = CostOf(*aRight);
  const bool isEven = std::abs(left - right) <= kSimilarCostShare * std::max(left, right);
  const bool isLeftNear = aLeft->failureDomain == mFailureDomain;
  const bool isRightNear = aRight->failureDomain == mFailureDomain;
  if (isEven && isLeftNear != isRightNear) {
    return isLeftNear ? aLeft : aRight;
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
