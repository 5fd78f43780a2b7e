#include "upstream/replica_speed.h"

#include <algorithm>
#include <cmath>

namespace skylarkwing::upstream {

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
  const double age = std::chrono::duration<double>(aNow - mReportedAt).count();
  const double decayTime = std::chrono::duration<double>(kDecayTime).count();
  return std::pow(*mFactor, std::exp(-std::max(0.0, age) / decayTime));
}

core::Duration
ReplicaSpeed::AtUsualSpeed(core::Duration aTime,
                           core::Duration aRoundTrip,
                           core::TimePoint aNow) const
{
  if (!mFactor || aTime <= aRoundTrip) {
    return aTime;
  }
  return aRoundTrip +
         std::chrono::duration_cast<core::Duration>((aTime - aRoundTrip) / FactorAt(aNow));
}

} // namespace skylarkwing::upstream
