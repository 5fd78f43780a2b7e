#pragma once

#include "caller/fair_shares.h"
#include "core/timer_service.h"
#include "upstream/request_terms.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

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
 * lower priority are refused earlier. Among those of the same priority, requests of customers that
 * use more than their fair share are refused earlier, so that one customer at many times its usual
 * rate doesn't take the capacity of the others.
 */
class EntryAdmission
{
public:
  explicit EntryAdmission(AdmissionLimits aLimits)
    : mLimits(aLimits)
  {
  }

  /**
   * Sets what counts the running requests whose answers wait for memory. They need no processor
   * time until then, so that they don't count against the limit.
   */
  void SetWaitingCounter(std::function<std::size_t()> aCounter)
  {
    mCountWaiting = std::move(aCounter);
  }

  /** Records the delay of a timer on the event loop; Refuse() uses the recent maximum. */
  void RecordLag(core::Duration aLag, core::TimePoint aNow);

  /** @return the average timer delay over about a second. */
  core::Duration AverageLag() const { return mAverageLag; }

  /** @return nothing when the request is accepted, otherwise the delay before its caller may retry.
   */
  std::optional<core::Duration> Refuse(const upstream::RequestTerms& aTerms, core::TimePoint aNow);

  /**
   * Decides on a request of another daemon. Those of this daemon's own callers go before it, so
   * that they don't suffer from the failure of others.
   */
  std::optional<core::Duration> RefuseForwarded(const upstream::RequestTerms& aTerms,
                                                core::TimePoint aNow);

  /** @return the customer's use of this daemon in proportion to all; see FairShares::UseOf(). */
  double UseOf(const upstream::RequestTerms& aTerms, core::TimePoint aNow)
  {
    return mShares.UseOf(aTerms.customer, aTerms.weight, aNow);
  }

  /** Records the start of an accepted request. */
  void Begin(const upstream::RequestTerms& aTerms, core::TimePoint aNow);

  /** Records the end of an accepted request. */
  void End(const upstream::RequestTerms& aTerms, core::TimePoint aNow);

  std::size_t Running() const { return mRunning; }

private:
  AdmissionLimits mLimits;
  std::size_t mRunning = 0;
  core::Duration mMaxLag{};
  core::TimePoint mMaxLagAt{};
  core::Duration mAverageLag{};
  FairShares mShares;
  /** Average time between the ends of two requests; nothing before the first ones. */
  std::optional<core::Duration> mEndInterval;
  std::optional<core::TimePoint> mLastEndAt;
  /** The next fraction by which a retry delay is extended. */
  double mSpread = 0.0;

  std::function<std::size_t()> mCountWaiting;

  /** @return the number of requests that take a place. */
  std::size_t Active() const;
  std::optional<core::Duration> RefuseBeyond(double aShare,
                                             const upstream::RequestTerms& aTerms,
                                             core::TimePoint aNow);
  core::Duration RetryAfter(double aLimit, bool aIsLagging, core::TimePoint aNow);
};

} // namespace skylarkwing::caller
