#include "upstream/failure_share.h"

#include <cmath>

namespace skylarkwing::upstream {

void
FailureShare::Record(bool aIsFailure, core::TimePoint aNow)
{
  const double fading = Fading(aNow);
  mSuccesses *= fading;
  mFailures *= fading;
  (aIsFailure ? mFailures : mSuccesses) += 1.0;
  mRecordedAt = aNow;
}

double
FailureShare::At(core::TimePoint aNow) const
{
  const double fading = Fading(aNow);
  const double failures = mFailures * fading;
  return failures / (failures + mSuccesses * fading + kAssumedSuccesses);
}

double
FailureShare::Fading(core::TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mRecordedAt;
  const std::chrono::duration<double> memory = kMemory;
  return std::exp(-age / memory);
}

} // namespace skylarkwing::upstream
