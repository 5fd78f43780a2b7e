#include "upstream/failure_rate.h"

#include <cmath>

namespace skylarkwing::upstream {

void
FailureRate::Record(bool aIsFailure, core::TimePoint aNow)
{
  const double decay = DecayFactor(aNow);
  mSuccesses *= decay;
  mFailures *= decay;
  (aIsFailure ? mFailures : mSuccesses) += 1.0;
  mRecordedAt = aNow;
}

double
FailureRate::At(core::TimePoint aNow) const
{
  const double decay = DecayFactor(aNow);
  const double failures = mFailures * decay;
  return failures / (failures + mSuccesses * decay + kPriorSuccesses);
}

double
FailureRate::DecayFactor(core::TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mRecordedAt;
  const std::chrono::duration<double> memory = kDecayTime;
  return std::exp(-age / memory);
}

} // namespace skylarkwing::upstream
