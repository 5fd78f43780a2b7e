#pragma once

#include <cstdint>

namespace skylarkwing::upstream {

/**
 * How many requests may run on one replica at a time: the cold limit at first, one more after each
 * round of calm answers, and the cold limit again at any sign of trouble.
 */
class WarmupRamp
{
public:
  /**
   * @param aColdSlots requests that a cold replica bears at a time.
   * @param aSlots requests that a warm one runs at a time.
   */
  WarmupRamp(std::uint32_t aColdSlots, std::uint32_t aSlots);

  /** @return requests that may run at a time now. */
  std::uint32_t Allowance() const { return mAllowance; }

  /** @return whether the ramp has reached all slots. */
  bool IsComplete() const { return mAllowance >= mSlots; }

  /** Records one answer of a warm process in its usual time. */
  void RecordNormalAnswer();

  /** Drops to the cold limit. */
  void Drop();

  /** Halves the allowance, not below the cold limit, for a warm replica that shed a request. */
  void BackOff();

private:
  std::uint32_t mColdSlots;
  std::uint32_t mSlots;
  std::uint32_t mAllowance;
  std::uint32_t mNormalAnswers = 0;
};

} // namespace skylarkwing::upstream
