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
  const double weight = std::exp(-std::max(0.0, age) / decayTime);
  return std::exp((std::log(*mFactor) - mAverageLog) * weight);
}

void
ReplicaSpeed::RecordSample()
{
  if (mFactor) {
    mAverageLog += (std::log(*mFactor) - mAverageLog) * kSampleWeight;
  }
}

} // namespace skylarkwing::upstream
