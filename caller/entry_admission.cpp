#include "caller/entry_admission.h"

#include <algorithm>

namespace skylarkwing::caller {

namespace {

/** Time for which a measured lag is used. */
constexpr core::Duration kLagRetention = std::chrono::milliseconds{ 100 };

/** Weight of the newest sample in the moving average, at twenty samples per second. */
constexpr double kLagSmoothingFactor = 0.05;

/** Factor of the limits for each lower priority. */
constexpr double kPriorityFactor = 0.85;

/** Lower priorities are treated like this one. */
constexpr std::uint32_t kLowestPriority = 4;

/** Factor of the limits for requests of other daemons. */
constexpr double kForwardedFactor = 0.6;

/** Retry delay for refused callers; about the duration of a short overload. */
constexpr core::Duration kRetryAfter = std::chrono::milliseconds{ 150 };

double
ShareOf(std::uint32_t aPriority)
{
  double share = 1.0;
  for (std::uint32_t n = 0; n < std::min(aPriority, kLowestPriority); ++n) {
    share *= kPriorityFactor;
  }
  return share;
}

} // namespace

void
EntryAdmission::RecordLag(core::Duration aLag, core::TimePoint aNow)
{
  mAverageLag +=
    std::chrono::duration_cast<core::Duration>((aLag - mAverageLag) * kLagSmoothingFactor);
  if (aNow - mMaxLagAt > kLagRetention || aLag > mMaxLag) {
    mMaxLag = aLag;
    mMaxLagAt = aNow;
  }
}

std::optional<core::Duration>
EntryAdmission::Refuse(std::uint32_t aPriority, core::TimePoint aNow) const
{
  return RefuseBeyond(ShareOf(aPriority), aNow);
}

std::optional<core::Duration>
EntryAdmission::RefuseForwarded(std::uint32_t aPriority, core::TimePoint aNow) const
{
  return RefuseBeyond(ShareOf(aPriority) * kForwardedFactor, aNow);
}

std::optional<core::Duration>
EntryAdmission::RefuseBeyond(double aShare, core::TimePoint aNow) const
{
  const bool isLagging = aNow - mMaxLagAt <= kLagRetention &&
                         mMaxLag > std::chrono::duration_cast<core::Duration>(mLimits.lag * aShare);
  const bool isFull =
    static_cast<double>(mRunning) >= static_cast<double>(mLimits.requests) * aShare;
  if (!isLagging && !isFull) {
    return std::nullopt;
  }
  return kRetryAfter;
}

} // namespace skylarkwing::caller
