#include "upstream/replica_rate_limit.h"

#include "core/name_table.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<RateLimitChange, 5> kChangeNames{
  { "none", "began", "changed", "ended", "unreadable" }
};

/** Lowest rate that is used: without any requests the end of a limit would not be noticed. */
constexpr double kMinRate = 0.2;

/** What all buckets together may hold: this time's worth of the limit, and a few requests. */
constexpr double kBurstSeconds = 1.0;
constexpr double kBurstRequests = 2.5;

/** Age after which a limit is confirmed by a request. */
constexpr core::Duration kMaxAge = std::chrono::seconds{ 4 };

/** Part of its bucket that a daemon doesn't use for hedges. */
constexpr double kKeptByHedges = 0.5;

/** Requests that all daemons together may have saved up. */
double
FleetBurst(double aMaxRate)
{
  return aMaxRate * kBurstSeconds + kBurstRequests;
}

} // namespace

std::string_view
NameOf(RateLimitChange aChange)
{
  return kChangeNames.NameOf(aChange);
}

RateLimitChange
ReplicaRateLimit::Apply(std::optional<double> aMaxRate,
                        core::TimePoint aSentAt,
                        double aJitter,
                        core::TimePoint aNow)
{
  if (!mMaxRate && !aMaxRate) {
    return RateLimitChange::None;
  }
  if (!mMaxRate) {
    mMaxRate = aMaxRate;
    mEndedAt.reset();
    mBucket = TokenBucket{ aJitter, aNow };
    mReceivedAt = aNow;
    return RateLimitChange::Began;
  }
  const bool isStricter = aMaxRate && *aMaxRate <= *mMaxRate;
  if (!isStricter && aSentAt < mReceivedAt) {
    return RateLimitChange::None;
  }
  const bool isSame = aMaxRate == mMaxRate;
  mMaxRate = aMaxRate;
  mReceivedAt = aNow;
  if (isSame) {
    return RateLimitChange::None;
  }
  if (mMaxRate) {
    return RateLimitChange::Changed;
  }
  mEndedAt = aNow;
  return RateLimitChange::Ended;
}

RateLimitChange
ReplicaRateLimit::ApplyEnd(core::TimePoint aEndedAt)
{
  if (!mMaxRate || aEndedAt <= mReceivedAt) {
    return RateLimitChange::None;
  }
  mMaxRate.reset();
  return RateLimitChange::Ended;
}

std::size_t
ReplicaRateLimit::MaxSenders() const
{
  return static_cast<std::size_t>(FleetBurst(mMaxRate.value_or(0.0)));
}

bool
ReplicaRateLimit::TryTake(const RateShare& aShare, core::TimePoint aNow)
{
  if (!mMaxRate) {
    return true;
  }
  const bool isTaken = mBucket.TryTake(RateOf(aShare), BurstOf(aShare), aNow);
  mLastSentAt = isTaken ? aNow : mLastSentAt;
  return isTaken;
}

bool
ReplicaRateLimit::HasSpare(const RateShare& aShare, core::TimePoint aNow) const
{
  const double burst = BurstOf(aShare);
  return !mMaxRate || Available(aShare, aNow) >= 1.0 + burst * kKeptByHedges;
}

bool
ReplicaRateLimit::IsOutdated(core::TimePoint aNow) const
{
  return mMaxRate && aNow - std::max(mReceivedAt, mLastSentAt) >= kMaxAge;
}

double
ReplicaRateLimit::Available(const RateShare& aShare, core::TimePoint aNow) const
{
  return mBucket.Tokens(RateOf(aShare), BurstOf(aShare), aNow);
}

core::Duration
ReplicaRateLimit::TimeUntilNext(const RateShare& aShare, core::TimePoint aNow) const
{
  return mMaxRate ? mBucket.TimeUntil(1.0, RateOf(aShare), BurstOf(aShare), aNow)
                  : core::Duration::zero();
}

double
ReplicaRateLimit::RateOf(const RateShare& aShare) const
{
  return std::max(kMinRate, mMaxRate.value_or(0.0)) * aShare.fraction;
}

double
ReplicaRateLimit::BurstOf(const RateShare& aShare) const
{
  if (aShare.fraction <= 0.0) {
    return 0.0;
  }
  // One request for each sender, and shares of the rest.
  const double rest = FleetBurst(mMaxRate.value_or(0.0)) - static_cast<double>(aShare.senders);
  return 1.0 + std::max(0.0, rest) * aShare.fraction;
}

core::Duration
WaitInQueue(std::vector<RateSource> aSources, std::size_t aAhead)
{
  const auto waitOf = [](const RateSource& aSource) {
    return TokenBucket(aSource.available, {}).TimeUntil(1.0, aSource.rate, 1.0, {});
  };
  core::Duration wait = TokenBucket::kNever;
  for (std::size_t n = 0; n <= aAhead; ++n) {
    const auto next =
      std::min_element(aSources.begin(),
                       aSources.end(),
                       [&waitOf](const RateSource& aLeft, const RateSource& aRight) {
                         return waitOf(aLeft) < waitOf(aRight);
                       });
    if (next == aSources.end() || waitOf(*next) >= TokenBucket::kNever) {
      return TokenBucket::kNever;
    }
    wait = waitOf(*next);
    next->available -= 1.0;
  }
  return wait;
}

} // namespace skylarkwing::upstream
