#include "upstream/warmup_ramp.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

// A round lasts until every request allowed at a time has been answered about twice.
constexpr std::uint32_t kNormalAnswersPerSlot = 2;

} // namespace

WarmupRamp::WarmupRamp(std::uint32_t aColdSlots, std::uint32_t aSlots)
  : mColdSlots(std::max(1U, std::min(aColdSlots, aSlots)))
  , mSlots(std::max(1U, aSlots))
  , mAllowance(mColdSlots)
{
}

void
WarmupRamp::RecordNormalAnswer()
{
  if (IsComplete()) {
    return;
  }
  ++mNormalAnswers;
  if (mNormalAnswers < mAllowance * kNormalAnswersPerSlot) {
    return;
  }
  mNormalAnswers = 0;
  ++mAllowance;
}

void
WarmupRamp::Drop()
{
  mAllowance = mColdSlots;
  mNormalAnswers = 0;
}

void
WarmupRamp::BackOff()
{
  mAllowance = std::max(mColdSlots, mAllowance / 2);
  mNormalAnswers = 0;
}

} // namespace skylarkwing::upstream
