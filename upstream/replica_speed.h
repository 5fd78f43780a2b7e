#pragma once

#include "core/timer_service.h"

#include <optional>

namespace skylarkwing::upstream {

/**
 * The speed of one replica's machine, by the figures in its answers.
 *
 * The figure changes several times per second, so that its weight decays with its age: the factor
 * goes back to 1, which stands for the averaged times of exchanges. Without a figure the factor is
 * 1 at any time.
 */
class ReplicaSpeed
{
public:
  /**
   * Age at which the logarithm of the figure counts for 1/e. The figure changes every 100 to 300
   * ms; a figure of 300 counts as 150 after this time.
   */
  static constexpr core::Duration kDecayTime = std::chrono::milliseconds{ 200 };

  /** Bounds of a figure that is taken; those of the header divided by 100. */
  static constexpr double kMinFactor = 0.1;
  static constexpr double kMaxFactor = 100.0;

  /** Weight of the newest figure in the average, that of the newest exchange in the times. */
  static constexpr double kSampleWeight = 0.15;

  /**
   * Records the figure of an answer.
   *
   * @param aFactor how long work takes, 1 as usual; nothing or a value out of bounds changes
   *        nothing.
   */
  void Record(std::optional<double> aFactor, core::TimePoint aNow);

  /** @return whether the replica has reported a figure. */
  bool IsReported() const { return mFactor.has_value(); }

  /**
   * @return how long work takes now, compared with the averaged times; 1 when it isn't known, and
   *         when work is faster than usual.
   */
  double FactorAt(core::TimePoint aNow) const;

  /**
   * Records the end of an exchange whose time is averaged. The figures of these times are averaged
   * alike, so that a replica that is slow for long isn't taken for a usual one when its last figure
   * is old.
   */
  void RecordSample();

private:
  std::optional<double> mFactor;
  core::TimePoint mReportedAt{};
  /** Average of the figures' logarithms, with the weights of the averaged times. */
  double mAverageLog = 0.0;
};

} // namespace skylarkwing::upstream
