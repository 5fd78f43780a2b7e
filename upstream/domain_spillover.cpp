#include "upstream/domain_spillover.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwing::upstream {

namespace {

/** Time constant of the smoothing; the speed of a replica changes several times in it. */
constexpr double kSmoothingSeconds = 0.5;

/**
 * Time constants of the assumed work time. Measured times contain queueing, so that an increase
 * counts only when it lasts.
 */
constexpr double kWorkFallSeconds = 2.0;
constexpr double kWorkRiseSeconds = 60.0;

/** Longest time between two requests for which the share rises. */
constexpr core::Duration kMaxRiseTime = std::chrono::seconds{ 1 };

/** The share at which a change is reported, so that small ones aren't. */
constexpr double kReportedShare = 0.05;

/** Greatest excess, also while no replica of the own domain has room. */
constexpr double kMaxExcess = 1.0;

/**
 * From this excess on, where the own domain takes 1.8 times as long, some requests leave at once:
 * at the beginning of an overload, the queue would make them late before the share has risen.
 */
constexpr double kUrgentExcess = 0.6;

/** The share that leaves at once at the greatest excess; the rest stays, so that daemons don't all
 * leave together. */
constexpr double kMaxUrgentShare = 0.6;

double
Seconds(core::Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/** @return the weight of the newest sample after a time. */
double
SampleWeight(core::Duration aElapsed, double aTimeConstant)
{
  return 1.0 - std::exp(-Seconds(aElapsed) / aTimeConstant);
}

bool
IsOwn(const ReplicaCandidate& aReplica)
{
  return aReplica.proximity == Proximity::OwnDomain;
}

bool
IsAnswering(const ReplicaCandidate& aReplica)
{
  return !aReplica.isSuspect && !IsStalled(aReplica);
}

/** @return whether a replica elsewhere keeps its free slots for its own domain. */
bool
IsReserved(const ReplicaCandidate& aReplica, const SpilloverSettings& aSettings)
{
  return !IsOwn(aReplica) && aReplica.use && *aReplica.use > aSettings.maxUse;
}

/** @return the logarithm of the ratio of the times, limited; negative while none may be sent away.
 */
double
ExcessOf(const SpilloverChange& aTimes)
{
  if (!aTimes.away) {
    return -kMaxExcess;
  }
  // The logarithm, so that times that vary around the same average have no excess on average.
  const double excess =
    aTimes.own ? std::log(Seconds(*aTimes.own) / Seconds(*aTimes.away)) : kMaxExcess;
  return std::clamp(excess, -kMaxExcess, kMaxExcess);
}

/** @return the share that may leave at once, before the smoothed times show the excess. */
double
UrgentShare(const SpilloverChange& aTimes)
{
  return kMaxUrgentShare * std::max(0.0, ExcessOf(aTimes) - kUrgentExcess) /
         (kMaxExcess - kUrgentExcess);
}

core::Duration
PriceOf(Proximity aProximity, const SpilloverSettings& aSettings)
{
  switch (aProximity) {
    case Proximity::OwnDomain:
      return {};
    case Proximity::OwnRegion:
      return aSettings.ownRegionPrice;
    case Proximity::OtherRegion:
      break;
  }
  return aSettings.otherRegionPrice;
}

} // namespace

bool
DomainSpillover::IsInEffect(const std::vector<ReplicaCandidate>& aReplicas)
{
  return std::any_of(aReplicas.begin(), aReplicas.end(), [](const ReplicaCandidate& aReplica) {
    return aReplica.reportsSpeed;
  });
}

bool
DomainSpillover::Apply(std::vector<ReplicaCandidate>& aReplicas,
                       const SpilloverSettings& aSettings,
                       double aFraction,
                       core::TimePoint aNow)
{
  const core::Duration elapsed =
    mUpdatedAt == core::TimePoint{} ? core::Duration::zero() : aNow - mUpdatedAt;
  mUpdatedAt = aNow;
  AssumeWork(aReplicas, elapsed);
  SpilloverChange times;
  bool hasOwn = false;
  bool hasOther = false;
  for (ReplicaCandidate& replica : aReplicas) {
    replica.price = PriceOf(replica.proximity, aSettings);
    hasOwn = hasOwn || (IsOwn(replica) && IsAnswering(replica));
    hasOther = hasOther || !IsOwn(replica);
    if (!IsAnswering(replica) || !replica.hasRoom || IsReserved(replica, aSettings)) {
      continue;
    }
    auto& least = IsOwn(replica) ? times.own : times.away;
    const core::Duration cost = ExpectedCost(replica);
    if (!least || cost < *least) {
      least = cost;
      (IsOwn(replica) ? times.ownAge : times.awayAge) = replica.reportAge;
    }
  }
  if (!hasOwn) {
    // A pause or the end of the own replicas isn't a matter of demand.
    return false;
  }
  if (hasOther) {
    // A customer's regions may exclude all others, which says nothing about the service.
    Update(times, elapsed);
  }
  const bool mayLeave = aFraction < std::max(mShare, UrgentShare(times));
  for (ReplicaCandidate& replica : aReplicas) {
    replica.isDeferred = IsReserved(replica, aSettings) || (!IsOwn(replica) && !mayLeave);
  }
  return true;
}

void
DomainSpillover::AssumeWork(std::vector<ReplicaCandidate>& aReplicas, core::Duration aElapsed)
{
  std::optional<core::Duration> least;
  for (const ReplicaCandidate& replica : aReplicas) {
    if (replica.isMeasured) {
      const auto usual =
        std::chrono::duration_cast<core::Duration>(replica.serviceTime / replica.slowdown);
      least = std::min(least.value_or(usual), usual);
    }
  }
  if (least && mUsualWork == core::Duration::zero()) {
    mUsualWork = *least;
  } else if (least) {
    const double timeConstant = *least < mUsualWork ? kWorkFallSeconds : kWorkRiseSeconds;
    mUsualWork += std::chrono::duration_cast<core::Duration>((*least - mUsualWork) *
                                                             SampleWeight(aElapsed, timeConstant));
  }
  for (ReplicaCandidate& replica : aReplicas) {
    if (!replica.isMeasured && replica.serviceTime < mUsualWork) {
      replica.typicalTime += mUsualWork - replica.serviceTime;
      replica.serviceTime = mUsualWork;
    }
  }
}

void
DomainSpillover::Update(const SpilloverChange& aTimes, core::Duration aElapsed)
{
  mExcess += (ExcessOf(aTimes) - mExcess) * SampleWeight(aElapsed, kSmoothingSeconds);
  const core::Duration riseTime = std::min(aElapsed, kMaxRiseTime);
  // Without requests the share falls: what was measured before is outdated.
  mShare -= kFallPerSecond * Seconds(aElapsed - riseTime);
  if (mExcess > kMargin) {
    mShare += kRisePerSecond * mExcess * Seconds(riseTime);
  } else if (mExcess < 0.0) {
    mShare -= kFallPerSecond * Seconds(riseTime);
  }
  mShare = std::clamp(mShare, 0.0, kMaxShare);
  const bool isLeaving = mIsLeaving ? mShare > 0.0 : mShare >= kReportedShare;
  if (isLeaving != mIsLeaving) {
    mIsLeaving = isLeaving;
    mChange = aTimes;
    mChange->isLeaving = isLeaving;
    mChange->share = mShare;
  }
}

std::optional<SpilloverChange>
DomainSpillover::TakeChange()
{
  return std::exchange(mChange, std::nullopt);
}

} // namespace skylarkwing::upstream
