#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace skylarkwing::caller {

/** Limits on the work that one daemon accepts. */
struct AdmissionLimits
{
  /** Maximum number of concurrent requests. */
  std::size_t requests = 160;
  /** Event loop lag above which the daemon has more work than its share of a core can handle. */
  core::Duration lag = std::chrono::milliseconds{ 60 };
};

/**
 * Load shedding for incoming requests.
 *
 * With more requests than the VM's share of a core can handle, the event loop falls behind and
 * every request becomes late. Refusing requests immediately is the cheapest way out; requests of
 * lower priority are refused earlier.
 */
class EntryAdmission
{
public:
  explicit EntryAdmission(AdmissionLimits aLimits)
    : mLimits(aLimits)
  {
  }

  /** Records the delay of a timer on the event loop; Refuse() uses the recent maximum. */
  void RecordLag(core::Duration aLag, core::TimePoint aNow);

  /** @return the average timer delay over about a second. */
  core::Duration AverageLag() const { return mAverageLag; }

  /**
   * @param aPriority 0 is the most important.
   * @return nothing when the request is accepted, otherwise the delay before its caller may retry.
   */
  std::optional<core::Duration> Refuse(std::uint32_t aPriority, core::TimePoint aNow) const;

  /**
   * Decides on a request of another daemon. Those of this daemon's own callers go before it, so
   * that they don't suffer from the failure of others.
   */
  std::optional<core::Duration> RefuseForwarded(std::uint32_t aPriority,
                                                core::TimePoint aNow) const;

  /** Records the start of an accepted request. */
  void Begin() { ++mRunning; }

  /** Records the end of an accepted request. */
  void End() { --mRunning; }

  std::size_t Running() const { return mRunning; }

private:
  AdmissionLimits mLimits;
  std::size_t mRunning = 0;
  core::Duration mMaxLag{};
  core::TimePoint mMaxLagAt{};
  core::Duration mAverageLag{};

  std::optional<core::Duration> RefuseBeyond(double aShare, core::TimePoint aNow) const;
};

} // namespace skylarkwing::caller
