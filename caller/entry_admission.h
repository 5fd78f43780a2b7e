#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace skylarkwing::caller {

/** Bounds on the work that one daemon takes on. */
struct AdmissionLimits
{
  /** Requests that run at a time. */
  std::size_t requests = 160;
  /** A loop that answers later than this has more work than its share of a core. */
  core::Duration lag = std::chrono::milliseconds{ 60 };
};

/**
 * Decides whether a request is taken on.
 *
 * Answers the load of more requests than the VM's share of a core can carry: the loop then falls
 * behind, every request becomes late, and work that is refused at once costs the least. The less
 * important a request is, the sooner it is refused.
 */
class EntryAdmission
{
public:
  explicit EntryAdmission(AdmissionLimits aLimits)
    : mLimits(aLimits)
  {
  }

  /** Takes in how late a timer of the loop came; the worst of the last moments counts. */
  void RecordLag(core::Duration aLag, core::TimePoint aNow);

  /** @return how late timers of the loop come on average, over about a second. */
  core::Duration AverageLag() const { return mAverageLag; }

  /**
   * @param aPriority 0 is the most important.
   * @return nothing when the request is taken on, else when its caller may come again.
   */
  std::optional<core::Duration> Refuse(std::uint32_t aPriority, core::TimePoint aNow) const;

  /** Counts a request that was taken on. */
  void Begin() { ++mRunning; }

  /** Counts the end of a request. */
  void End() { --mRunning; }

  /** @return requests that run. */
  std::size_t Running() const { return mRunning; }

private:
  AdmissionLimits mLimits;
  std::size_t mRunning = 0;
  core::Duration mLag{};
  core::TimePoint mLagAt{};
  core::Duration mAverageLag{};
};

} // namespace skylarkwing::caller
