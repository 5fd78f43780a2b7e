#pragma once

#include "core/timer_service.h"

namespace skylarkwing::upstream {

/**
 * The share of a replica's recent requests that failed, were lost, had a malformed answer or were
 * rejected.
 *
 * Balances load away from replicas that fail a part of their requests for some seconds while other
 * replicas of the service are healthy: a single success must not restore such a replica to their
 * rank. Outcomes decay exponentially, so a replica that gets no requests is tried again. Does no
 * I/O.
 */
class FailureRate
{
public:
  /**
   * Time constant of the decay, after which an outcome counts about a third. Replica faults last
   * seconds.
   */
  static constexpr core::Duration kDecayTime = std::chrono::seconds{ 3 };

  /** Successes assumed before any outcome is known, so that one failure changes the rate little. */
  static constexpr double kPriorSuccesses = 6.0;

  /** Records the outcome of one request. */
  void Record(bool aIsFailure, core::TimePoint aNow);

  /** @return the failure rate, from 0 to 1. */
  double At(core::TimePoint aNow) const;

private:
  double mSuccesses = 0.0;
  double mFailures = 0.0;
  core::TimePoint mRecordedAt{};

  double DecayFactor(core::TimePoint aNow) const;
};

} // namespace skylarkwing::upstream
