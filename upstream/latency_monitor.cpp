#include "upstream/latency_monitor.h"

#include <algorithm>
#include <bit>

namespace skylarkwing::upstream {

namespace {

constexpr std::size_t kSamplesBetweenQuantiles = 16;
constexpr std::size_t kMinBaselineSamples = 32;
constexpr std::uint32_t kSlowFactor = 4;
constexpr std::uint32_t kMinSlowMicroseconds = 2000;
constexpr int kSlowSamplesForElevated = 6;
// The latest eight samples decide, one bit each.
constexpr std::uint32_t kSlowMask = 0xFF;

} // namespace

LatencyLevel
LatencyMonitor::Record(std::uint32_t aMicroseconds)
{
  const bool hasBaseline = mCount >= kMinBaselineSamples;
  const std::uint32_t bound = std::max(mMedian * kSlowFactor, kMinSlowMicroseconds);
  mTimes[mCount % kSize] = aMicroseconds;
  ++mCount;
  if (mCount < kSamplesBetweenQuantiles || mCount % kSamplesBetweenQuantiles == 0) {
    ComputeQuantiles();
  }
  return hasBaseline ? UpdateLevel(aMicroseconds > bound) : LatencyLevel::Normal;
}

void
LatencyMonitor::Reset()
{
  *this = LatencyMonitor();
}

LatencyLevel
LatencyMonitor::UpdateLevel(bool aIsSlow)
{
  mSlowBits = ((mSlowBits << 1U) | (aIsSlow ? 1U : 0U)) & kSlowMask;
  if (std::popcount(mSlowBits) < kSlowSamplesForElevated) {
    return aIsSlow ? LatencyLevel::Slow : LatencyLevel::Normal;
  }
  mSlowBits = 0;
  return LatencyLevel::Elevated;
}

void
LatencyMonitor::ComputeQuantiles()
{
  const std::size_t n = std::min(mCount, kSize);
  std::array<std::uint32_t, kSize> sorted = mTimes;
  const auto begin = sorted.begin();
  const auto end = begin + static_cast<std::ptrdiff_t>(n);
  std::sort(begin, end);
  mMedian = sorted[n / 2];
  mP95 = sorted[std::min(n - 1, n * 95 / 100)];
  mP99 = sorted[std::min(n - 1, n * 99 / 100)];
}

} // namespace skylarkwing::upstream
