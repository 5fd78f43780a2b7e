#pragma once

#include "core/timer_service.h"

namespace skylarkwing::upstream {

/**
 * The share of a replica's recent requests that came to nothing: failed, lost, garbled or turned
 * away.
 *
 * Answers the load of replicas that fail a part of their requests for seconds while others of the
 * same service are sound: a success in between must not make a replica as good as those. Old
 * outcomes fade, so that a replica that nobody asks is tried again. A decision without a network.
 */
class FailureRate
{
public:
  /** Outcomes fade to a third in this time: troubles of replicas last seconds. */
  static constexpr core::Duration kDecayTime = std::chrono::seconds{ 3 };

  /** Successes that are assumed beforehand, so that one failure says little. */
  static constexpr double kPriorSuccesses = 6.0;

  /** Takes in how one request ended. */
  void Record(bool aIsFailure, core::TimePoint aNow);

  /** @return the share, from 0 to 1. */
  double At(core::TimePoint aNow) const;

private:
  double mSuccesses = 0.0;
  double mFailures = 0.0;
  core::TimePoint mRecordedAt{};

  double DecayFactor(core::TimePoint aNow) const;
};

} // namespace skylarkwing::upstream
