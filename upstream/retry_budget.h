#pragma once

#include "core/timer_service.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkwing::upstream {

/** Limits on the extra attempts for a service, over all daemons together. */
struct RetryBudgetSettings
{
  /** Extra attempts allowed per first attempt. */
  double ratio = 0.2;
  /** Extra attempts allowed in one window beyond the ratio, over all daemons together. */
  double slack = 0.0;
  core::Duration window = std::chrono::seconds{ 10 };
};

/** The reason for an extra attempt. */
enum class ExtraAttempt
{
  /** The first attempt failed. */
  Retry,
  /** The first attempt is slow. */
  Hedge,
};

/**
 * This daemon's part of the budget of extra attempts for one service.
 *
 * Each daemon counts its own first attempts and uses its share of the slack, so that the sum over
 * all daemons stays within the limit without any messages between them. When many requests fail at
 * once, retries stop before they multiply the load, and hedges stop before retries do.
 */
class RetryBudget
{
public:
  /** Share of the budget that hedges leave to retries. */
  static constexpr double kReservedForRetries = 0.25;

  /**
   * Share of the limit that is used, because the daemons' windows are not aligned with those in
   * which the limit is checked.
   */
  static constexpr double kSafetyFactor = 0.85;

  /**
   * @param aProcessStart when this process started. Its share of the slack grows from 0 during the
   *        first window, because the previous process on the VM may have used that share already,
   *        and in a rolling replacement each VM runs two or more processes within one window.
   */
  explicit RetryBudget(core::TimePoint aProcessStart = {})
    : mProcessStart(aProcessStart)
  {
  }

  /** Counts the first attempt of a request, which adds to the budget. */
  void RecordFirstAttempt(core::TimePoint aNow);

  /**
   * Takes an extra attempt from the budget.
   *
   * @param aSettings the limits over all daemons.
   * @param aShare this daemon's share of the slack, 0 to 1.
   * @return whether the attempt is allowed; it is then counted.
   */
  bool TryTake(ExtraAttempt aKind,
               const RetryBudgetSettings& aSettings,
               double aShare,
               core::TimePoint aNow);

private:
  static constexpr std::size_t kSlices = 20;

  struct Slice
  {
    std::uint32_t first = 0;
    std::uint32_t extra = 0;
  };

  core::TimePoint mProcessStart;
  std::array<Slice, kSlices> mSlices{};
  std::uint32_t mFirstSum = 0;
  std::uint32_t mExtraSum = 0;
  std::int64_t mSliceNumber = 0;
  core::Duration mWindow = std::chrono::seconds{ 10 };

  /** @return the part of its share of the slack that this process may use by now, 0 to 1. */
  double SlackRamp(core::TimePoint aNow) const;
  Slice& Advance(core::TimePoint aNow);
};

} // namespace skylarkwing::upstream
