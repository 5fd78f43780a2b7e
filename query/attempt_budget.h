#pragma once

namespace skylarkwing::query {

/**
 * Token bucket that limits retries or hedges to a share of the first attempts, so that retries
 * cannot multiply the load of a failing upstream.
 */
class AttemptBudget
{
public:
  /**
   * Records a first attempt, which refills the bucket.
   *
   * @param aShare tokens to add; one token pays for one extra attempt.
   */
  void RecordFirstAttempt(double aShare);

  /** Takes one token. @return false when less than one token is left. */
  bool TryTake();

private:
  static constexpr double kMaxTokens = 20.0;

  double mTokens = kMaxTokens;
};

} // namespace skylarkwing::query
