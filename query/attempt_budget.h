#pragma once

namespace skylarkwing::query {

/**
 * Limits extra attempts to a share of first attempts, so that an upstream in trouble never sees
 * its load multiplied.
 */
class AttemptBudget
{
public:
  /** Counts one first attempt, which earns a share of an extra one. */
  void RecordFirstAttempt(double aShare);

  /** @return whether an extra attempt was granted, and taken off the budget. */
  bool Take();

private:
  static constexpr double kMaxTokens = 20.0;

  double mTokens = kMaxTokens;
};

} // namespace skylarkwing::query
