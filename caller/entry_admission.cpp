#include "caller/entry_admission.h"

#include <algorithm>

namespace skylarkwing::caller {

namespace {

/** How long a measured lag counts. */
constexpr core::Duration kLagRetention = std::chrono::milliseconds{ 100 };

/** Weight of the newest lag in the running mean; there are twenty a second. */
constexpr double kLagSmoothingFactor = 0.05;

/** A request of the next lower priority is refused at this share of the bounds. */
constexpr double kPriorityFactor = 0.85;

/** Priorities below this one are treated alike. */
constexpr std::uint32_t kLowestPriority = 4;

/** When a refused caller may come again: about the time in which an overload of this size ends. */
constexpr core::Duration kRetryAfter = std::chrono::milliseconds{ 150 };

} // namespace

void
EntryAdmission::RecordLag(core::Duration aLag, core::TimePoint aNow)
{
  mAverageLag +=
    std::chrono::duration_cast<core::Duration>((aLag - mAverageLag) * kLagSmoothingFactor);
  if (aNow - mLagAt > kLagRetention || aLag > mLag) {
    mLag = aLag;
    mLagAt = aNow;
  }
}

std::optional<core::Duration>
EntryAdmission::Refuse(std::uint32_t aPriority, core::TimePoint aNow) const
{
  double share = 1.0;
  for (std::uint32_t n = 0; n < std::min(aPriority, kLowestPriority); ++n) {
    share *= kPriorityFactor;
  }
  const bool isLagging = aNow - mLagAt <= kLagRetention &&
                         mLag > std::chrono::duration_cast<core::Duration>(mLimits.lag * share);
  const bool isFull =
    static_cast<double>(mRunning) >= static_cast<double>(mLimits.requests) * share;
  if (!isLagging && !isFull) {
    return std::nullopt;
  }
  return kRetryAfter;
}

} // namespace skylarkwing::caller
