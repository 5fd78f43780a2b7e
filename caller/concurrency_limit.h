#pragma once

#include "core/timer_service.h"
#include "query/part_latency.h"

#include <cstdint>

namespace skylarkwing::caller {

/** How one admitted query went, as far as load is concerned. */
struct LoadSample
{
  /** From admission to the result. */
  core::Duration latency{};
  /** What the query's profile promises. */
  core::Duration objective{};
  /** Whether upstreams refused it for load. */
  bool isShed = false;
};

/**
 * How many queries of one index may run at a time on this daemon: additive increase while they go
 * well and some had to wait, multiplicative decrease while too many are slow or shed.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(core::TimerService& aTimers);

  /** @return the limit now. */
  std::uint32_t Limit() const { return mLimit; }

  /** Takes in one finished query. */
  void Record(const LoadSample& aSample);

  /** Notes that a query had to wait for the limit, without which the limit does not grow. */
  void RecordQueued();

  /** @return the usual time of a query, zero while unknown. */
  core::Duration Median();

private:
  bool IsSlow(const LoadSample& aSample) const;
  void CloseWindow();

  core::TimerService& mTimers;
  std::uint32_t mLimit;
  query::QuantileWindow mLatencies;
  core::Duration mBaseline{};
  core::TimePoint mWindowEnd;
  std::uint32_t mFinished = 0;
  std::uint32_t mSlowOrShed = 0;
  bool mHasQueued = false;
  /** Whether it has never fallen, so that it may still grow fast. */
  bool mIsStarting = true;
};

} // namespace skylarkwing::caller
