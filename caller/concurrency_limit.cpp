#include "caller/concurrency_limit.h"

#include <algorithm>

namespace skylarkwing::caller {

namespace {

constexpr std::uint32_t kInitialLimit = 16;
constexpr std::uint32_t kMinLimit = 1;
constexpr std::uint32_t kMaxLimit = 2048;

constexpr core::Duration kWindow = std::chrono::milliseconds{ 200 };
constexpr std::uint32_t kMinWindowQueries = 10;

/** Share of slow or shed queries in a window above which the limit decreases. */
constexpr double kDecreaseThreshold = 0.1;
constexpr double kDecreaseFactor = 0.8;

/** Share of slow or shed queries in a window above which the limit decreases faster. */
constexpr double kFastDecreaseThreshold = 0.5;
constexpr double kFastDecreaseFactor = 0.5;
constexpr double kIncreaseFactor = 0.05;

/** Growth per window until the first decrease. */
constexpr double kInitialIncreaseFactor = 1.0;

/** Share of the latency objective that a query may take to run; the rest is for queueing. */
constexpr double kRunningTimeShare = 0.5;

/** A query is not slow below this multiple of the unloaded latency. */
constexpr int kSlowFactor = 2;

/** Maximum increase of the unloaded latency per window in which no query had to wait. */
constexpr double kMaxBaselineIncrease = 0.01;

core::Duration
Scaled(core::Duration aDuration, double aFactor)
{
  const auto count = static_cast<double>(aDuration.count()) * aFactor;
  return core::Duration{ static_cast<core::Duration::rep>(count) };
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(core::TimerService& aTimers)
  : mTimers(aTimers)
  , mLimit(kInitialLimit)
  , mWindowEnd(aTimers.Now() + kWindow)
{
}

void
ConcurrencyLimit::Record(const LoadSample& aSample)
{
  ++mFinished;
  if (aSample.isShed || IsSlow(aSample)) {
    ++mSlowOrShed;
  }
  if (!aSample.isShed) {
    mLatencies.Record(aSample.latency);
  }
  if (mTimers.Now() >= mWindowEnd && mFinished >= kMinWindowQueries) {
    CloseWindow();
  }
}

void
ConcurrencyLimit::RecordQueued()
{
  mHasQueued = true;
}

core::Duration
ConcurrencyLimit::Median()
{
  return mLatencies.Quantile(0.5);
}

bool
ConcurrencyLimit::IsSlow(const LoadSample& aSample) const
{
  const core::Duration bound =
    std::max(Scaled(aSample.objective, kRunningTimeShare), mBaseline * kSlowFactor);
  return aSample.latency > bound;
}

void
ConcurrencyLimit::CloseWindow()
{
  if (!mHasQueued) {
    // Only a window in which no query had to wait shows the latency without load.
    const core::Duration median = Median();
    const bool isFirst = mBaseline == core::Duration::zero();
    mBaseline = isFirst ? median : std::min(median, Scaled(mBaseline, 1.0 + kMaxBaselineIncrease));
  }
  const double badShare = static_cast<double>(mSlowOrShed) / mFinished;
  if (badShare > kDecreaseThreshold) {
    const double factor = badShare > kFastDecreaseThreshold ? kFastDecreaseFactor : kDecreaseFactor;
    mLimit = std::max(kMinLimit, static_cast<std::uint32_t>(mLimit * factor));
    mIsStarting = false;
  } else if (mHasQueued) {
    const double share = mIsStarting ? kInitialIncreaseFactor : kIncreaseFactor;
    const auto step = std::max(1U, static_cast<std::uint32_t>(mLimit * share));
    mLimit = std::min(kMaxLimit, mLimit + step);
  }
  mFinished = 0;
  mSlowOrShed = 0;
  mHasQueued = false;
  mWindowEnd = mTimers.Now() + kWindow;
}

} // namespace skylarkwing::caller
