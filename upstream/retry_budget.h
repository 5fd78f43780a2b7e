#pragma once

#include "core/timer_service.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkwing::upstream {

/** How many extra attempts a service bears over the whole fleet. */
struct RetryBudgetSettings
{
  /** Extra attempts for each first one. */
  double ratio = 0.2;
  /** Extra attempts allowed besides, over the whole fleet, in one window. */
  double slack = 0.0;
  core::Duration window = std::chrono::seconds{ 10 };
};

/** What an extra attempt is for. */
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
 * Each daemon counts its own first attempts and takes its share of the slack, so that the sum over
 * all daemons keeps the bound without a message between them. Answers the load of many failures at
 * once: retries stop before they multiply it, and hedges stop earlier than retries.
 */
class RetryBudget
{
public:
  /** Share of the budget that hedges leave to retries. */
  static constexpr double kReservedForRetries = 0.25;

  /** Share of the bound that is used, since daemons' windows and the count's don't coincide. */
  static constexpr double kSafetyFactor = 0.85;

  /**
   * @param aProcessStart since when this process has run. Its share of the slack grows from nothing
   *        within the first window: the process before it may have used that of the VM, and in
   *        a rolling replacement each VM has two processes or more in one window.
   */
  explicit RetryBudget(core::TimePoint aProcessStart = {})
    : mProcessStart(aProcessStart)
  {
  }

  /** Counts the first attempt of a request. */
  void RecordFirstAttempt(core::TimePoint aNow);

  /**
   * Asks for an extra attempt, and counts it when it is granted.
   *
   * @param aBound the bound over the fleet.
   * @param aShare this daemon's share of the slack, 0 to 1.
   */
  bool Take(ExtraAttempt aKind,
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

  /** @return which part of its share of the slack this process may use by now. */
  double SlackRamp(core::TimePoint aNow) const;
  Slice& Advance(core::TimePoint aNow);
};

} // namespace skylarkwing::upstream
