#pragma once

#include "core/timer_service.h"
#include "query/quantile_window.h"

#include <cstdint>

namespace skylarkwing::caller {

/** Load-related measurements of one admitted query. */
struct LoadSample
{
  /** Time from admission to the result. */
  core::Duration latency{};
  /** Latency objective of the query's profile. */
  core::Duration objective{};
  /** Whether upstreams refused it because of load. */
  bool isShed = false;
};

/**
 * Adaptive limit of the concurrent queries of one index on this daemon. Grows by a share of itself
 * while queries are fast and some had to wait; falls multiplicatively while too many are slow or
 * shed.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(core::TimerService& aTimers);

  std::uint32_t Limit() const { return mLimit; }

  /** Records a finished query. */
  void Record(const LoadSample& aSample);

  /** Records that a query had to wait; the limit grows only after that. */
  void RecordQueued();

  /** @return the median latency of a query, zero while unknown. */
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
  /** Whether the limit has never decreased and therefore still grows fast. */
  bool mIsStarting = true;
};

} // namespace skylarkwing::caller
