#include "caller/entry_admission.h"

#include <algorithm>
#include <cmath>

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

/** Retry delay while it isn't known how fast requests end; about the time of a short overload. */
constexpr core::Duration kDefaultRetryAfter = std::chrono::milliseconds{ 150 };

/** Bounds of the retry delay before it is spread. */
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds{ 100 };
constexpr core::Duration kMaxRetryAfter = std::chrono::seconds{ 2 };

/** Weight of the newest sample in the average time between ends. */
constexpr double kEndSmoothingFactor = 0.05;

/** Multiples of it, taken modulo 1, cover the range from 0 to 1 evenly, however many are used. */
constexpr double kGoldenRatio = 0.6180339887498949;

/**
 * Use of a customer from which its limits shrink, and from which the least factor applies. Ordinary
 * customers exceed their share by chance: with limits that shrink from 1.0 on, a daemon at 0.9 of
 * its capacity served 4 in 100 fewer requests.
 */
constexpr double kModerateUse = 1.5;
constexpr double kExcessiveUse = 3.5;

/** Least factor of the limits; below that of the usual lower priorities. */
constexpr double kExcessiveFactor = 0.5;

double
ShareOf(std::uint32_t aPriority)
{
  double share = 1.0;
  for (std::uint32_t n = 0; n < std::min(aPriority, kLowestPriority); ++n) {
    share *= kPriorityFactor;
  }
  return share;
}

/** @return the factor of the limits for a customer with a use in proportion to all customers. */
double
FactorForUse(double aUse)
{
  const double excess = (aUse - kModerateUse) / (kExcessiveUse - kModerateUse);
  return 1.0 - (1.0 - kExcessiveFactor) * std::clamp(excess, 0.0, 1.0);
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
EntryAdmission::Refuse(const upstream::RequestTerms& aTerms, core::TimePoint aNow)
{
  return RefuseBeyond(ShareOf(aTerms.priority), aTerms, aNow);
}

std::optional<core::Duration>
EntryAdmission::RefuseForwarded(const upstream::RequestTerms& aTerms, core::TimePoint aNow)
{
  return RefuseBeyond(ShareOf(aTerms.priority) * kForwardedFactor, aTerms, aNow);
}

void
EntryAdmission::Begin(const upstream::RequestTerms& aTerms, core::TimePoint aNow)
{
  ++mRunning;
  mShares.Begin(aTerms.customer, aTerms.weight, aNow);
}

void
EntryAdmission::End(const upstream::RequestTerms& aTerms, core::TimePoint aNow)
{
  --mRunning;
  mShares.End(aTerms.customer, aNow);
  if (mLastEndAt) {
    const core::Duration sample = aNow - *mLastEndAt;
    const core::Duration average = mEndInterval.value_or(sample);
    mEndInterval = average + std::chrono::duration_cast<core::Duration>((sample - average) *
                                                                        kEndSmoothingFactor);
  }
  mLastEndAt = aNow;
}

std::size_t
EntryAdmission::Active() const
{
  return mRunning - std::min(mRunning, mCountWaiting ? mCountWaiting() : 0);
}

std::optional<core::Duration>
EntryAdmission::RefuseBeyond(double aShare,
                             const upstream::RequestTerms& aTerms,
                             core::TimePoint aNow)
{
  const auto isLaggingBeyond = [this, aNow](double aFactor) {
    return aNow - mMaxLagAt <= kLagRetention &&
           mMaxLag > std::chrono::duration_cast<core::Duration>(mLimits.lag * aFactor);
  };
  const double limit = static_cast<double>(mLimits.requests) * aShare;
  const auto running = static_cast<double>(Active());
  if (!isLaggingBeyond(aShare * kExcessiveFactor) && running < limit * kExcessiveFactor) {
    return std::nullopt;
  }
  const double factor = FactorForUse(UseOf(aTerms, aNow));
  const bool isLagging = isLaggingBeyond(aShare * factor);
  if (!isLagging && running < limit * factor) {
    return std::nullopt;
  }
  return RetryAfter(limit * factor, isLagging, aNow);
}

core::Duration
EntryAdmission::RetryAfter(double aLimit, bool aIsLagging, core::TimePoint aNow)
{
  core::Duration delay = kDefaultRetryAfter;
  if (mEndInterval) {
    const double excess = std::max(0.0, static_cast<double>(Active()) - aLimit) + 1.0;
    delay = std::chrono::duration_cast<core::Duration>(*mEndInterval * excess);
  }
  if (aIsLagging) {
    delay = std::max(delay, mMaxLagAt + kLagRetention - aNow + mMaxLag);
  }
  mSpread += kGoldenRatio;
  mSpread -= std::floor(mSpread);
  return std::chrono::duration_cast<core::Duration>(
    std::clamp(delay, kMinRetryAfter, kMaxRetryAfter) * (1.0 + mSpread));
}

} // namespace skylarkwing::caller
