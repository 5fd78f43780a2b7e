#pragma once

#include <cstdint>

namespace skylarkwing::upstream {

/**
 * The concurrency limit of one replica: the cold limit at first, one more after each round of
 * normal answers, and the cold limit again at any sign of trouble.
 */
class WarmupRamp
{
public:
  /**
   * @param aColdSlots requests that a cold replica can run at a time.
   * @param aSlots requests that a warm replica can run at a time.
   */
  WarmupRamp(std::uint32_t aColdSlots, std::uint32_t aSlots);

  /** @return the current limit of requests that run at a time. */
  std::uint32_t Allowance() const { return mAllowance; }

  /** @return whether the ramp has reached all slots. */
  bool IsComplete() const { return mAllowance >= mSlots; }

  /** Records one answer of a warm process in normal time. */
  void RecordNormalAnswer();

  /** Resets the limit to the cold one. */
  void Drop();

  /** Halves the limit, not below the cold one, for a warm replica that shed a request. */
  void BackOff();

private:
  std::uint32_t mColdSlots;
  std::uint32_t mSlots;
  std::uint32_t mAllowance;
  std::uint32_t mNormalAnswers = 0;
};

} // namespace skylarkwing::upstream
