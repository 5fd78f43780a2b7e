#include "rollout/rollout_plan.h"

#include "core/name_table.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::rollout {

namespace {

using std::chrono::milliseconds;

constexpr core::NameTable<RolloutPhase, 5> kPhases{
  { "trial", "shift", "full", "completed", "reverted" }
};

/**
 * Time at Full before the rollout is completed: two reports, in which all daemons confirm, and the
 * end of the requests that run at old replicas. While the old version gets nothing there is nothing
 * to compare with, so that it is short.
 */
constexpr core::Duration kFullTime = milliseconds{ 600 };

/** Time before the deadline for the write of `completed`. */
constexpr double kCompletePart = 0.02;
constexpr core::Duration kMinComplete = milliseconds{ 700 };
constexpr core::Duration kMaxComplete = milliseconds{ 1500 };

/** One slow call of the store. */
constexpr core::Duration kLastMoment = milliseconds{ 500 };

/** Part of the slack that a daemon may use for its share of the shift. */
constexpr double kShiftSlackPart = 0.5;

core::Duration
Scale(core::Duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<core::Duration>(aSpan * aFactor);
}

} // namespace

std::string_view
NameOf(RolloutPhase aPhase)
{
  return kPhases.NameOf(aPhase);
}

bool
IsFinal(RolloutPhase aPhase)
{
  return aPhase == RolloutPhase::Completed || aPhase == RolloutPhase::Reverted;
}

RolloutPlan::RolloutPlan(core::Duration aDuration, const RolloutLimits& aLimits)
  : mDuration(aDuration)
  , mLimits(aLimits)
  , mShiftAt(aDuration)
  , mFullAt(aDuration)
  , mCompleteAt(aDuration - std::clamp(Scale(aDuration, kCompletePart), kMinComplete, kMaxComplete))
  , mLastMoment(std::max(mCompleteAt, aDuration - kLastMoment))
{
  // What the trial leaves of the allowed share is the time at Full, and the shift before it.
  const core::Duration left = Scale(aDuration, aLimits.exposureShare * (1.0 - kTrialPart));
  const core::Duration full = std::min(left, aDuration - mCompleteAt + kFullTime);
  mFullAt = aDuration - full;
  mShiftAt = mFullAt - Scale(left - full, 1.0 / kShiftShare);
  mCompleteAt = std::max(mCompleteAt, mFullAt);
  mLastMoment = std::max(mLastMoment, mCompleteAt);
}

ExposureBudget::ExposureBudget(const RolloutPlan& aPlan, core::Duration aStart)
  : mPlan(aPlan)
  , mStart(aStart)
{
}

void
ExposureBudget::SetFleet(double aShare, double aOffset)
{
  mShare = aShare;
  mOffset = aOffset;
}

void
ExposureBudget::CountRequest()
{
  ++mRequests;
  mShiftCredit = std::min(mShiftCredit + RolloutPlan::kShiftShare, 2.0);
}

bool
ExposureBudget::Allows(RolloutPhase aPhase, core::Duration aElapsed)
{
  switch (aPhase) {
    case RolloutPhase::Trial:
      // Otherwise the first requests of the shift all went to the new version.
      mShiftCredit = mOffset;
      return AllowsTrial(aElapsed);
    case RolloutPhase::Shift: {
      const RolloutLimits& limits = mPlan.Limits();
      const double allowed = limits.exposureShare * static_cast<double>(mRequests) +
                             limits.exposureSlack * kShiftSlackPart * mShare + mOffset;
      if (mShiftCredit < 1.0 || static_cast<double>(mSent) + 1.0 > allowed) {
        return false;
      }
      mShiftCredit -= 1.0;
      return true;
    }
    case RolloutPhase::Full:
    case RolloutPhase::Completed:
      return true;
    case RolloutPhase::Reverted:
      break;
  }
  return false;
}

bool
ExposureBudget::AllowsTrial(core::Duration aElapsed) const
{
  const double accrued =
    std::clamp(std::chrono::duration<double>(aElapsed - mStart) / mPlan.ShiftAt(), 0.0, 1.0);
  const double allowed = mPlan.TrialShare() * static_cast<double>(mRequests) +
                         mPlan.TrialExtra() * mShare * accrued + mOffset;
  return static_cast<double>(mSent) + 1.0 <= allowed;
}

} // namespace skylarkwing::rollout
