#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkwing::upstream {

/** How an exchange time compares with the earlier ones. */
enum class LatencyLevel
{
  Normal,
  /** Far above the median: a straggler, or the first sign of a general slowdown. */
  Slow,
  /** Most of the latest times are far above the median. */
  Elevated,
};

/** A sliding window of one replica's exchange times: computes quantiles and detects slowdowns. */
class LatencyMonitor
{
public:
  /**
   * Records one exchange time.
   *
   * @param aMicroseconds duration of the exchange.
   * @return how it compares; always Normal while too few times are known.
   */
  LatencyLevel Record(std::uint32_t aMicroseconds);

  /** Discards all times, for a new process at the same address. */
  void Reset();

  /** @return the median in microseconds, 0 while nothing is known. */
  std::uint32_t Median() const { return mMedian; }

  /** @return the 95th percentile in microseconds, 0 while nothing is known. */
  std::uint32_t P95() const { return mP95; }

  /** @return the 99th percentile in microseconds, 0 while nothing is known. */
  std::uint32_t P99() const { return mP99; }

private:
  static constexpr std::size_t kSize = 128;

  std::array<std::uint32_t, kSize> mTimes{};
  std::size_t mCount = 0;
  std::uint32_t mSlowBits = 0;
  std::uint32_t mMedian = 0;
  std::uint32_t mP95 = 0;
  std::uint32_t mP99 = 0;

  LatencyLevel UpdateLevel(bool aIsSlow);
  void ComputeQuantiles();
};

} // namespace skylarkwing::upstream
