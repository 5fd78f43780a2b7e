#include "upstream/replica_speed.h"

#include <algorithm>
#include <cmath>

namespace skylarkwing::upstream {

namespace {

/**
 * A replica that is this many times slower than in the averaged times has more than the usual
 * variation. What exceeds it counts for longer, since its next request would be late.
 */
constexpr double kUsualSlowdown = 2.0;

/** Age at which that excess counts for 1/e; about as long as measured times are valid. */
constexpr core::Duration kSlowDecayTime = std::chrono::seconds{ 3 };

double
DecayAt(core::Duration aAge, core::Duration aDecayTime)
{
  const std::chrono::duration<double> age = std::max(aAge, core::Duration::zero());
  return std::exp(-age / std::chrono::duration<double>(aDecayTime));
}

} // namespace

void
ReplicaSpeed::Record(std::optional<double> aFactor, core::TimePoint aNow)
{
  if (!aFactor || !(*aFactor >= kMinFactor && *aFactor <= kMaxFactor)) {
    return;
  }
  mFactor = aFactor;
  mReportedAt = aNow;
}

double
ReplicaSpeed::FactorAt(core::TimePoint aNow) const
{
  if (!mFactor) {
    return 1.0;
  }
  // A replica that looks fast would attract all daemons that have seen the same figure.
  const double total = std::max(0.0, std::log(*mFactor) - mAverageLog);
  const double usual = std::min(total, std::log(kUsualSlowdown));
  const core::Duration age = aNow - mReportedAt;
  return std::exp(usual * DecayAt(age, kDecayTime) +
                  (total - usual) * DecayAt(age, kSlowDecayTime));
}

void
ReplicaSpeed::RecordSample()
{
  if (mFactor) {
    mAverageLog += (std::log(*mFactor) - mAverageLog) * kSampleWeight;
  }
}

} // namespace skylarkwing::upstream
