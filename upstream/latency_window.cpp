#include "upstream/latency_window.h"

#include <algorithm>
#include <bit>

namespace skylarkwing::upstream {

namespace {

constexpr std::size_t kSamplesBetweenQuantiles = 16;
constexpr std::size_t kLeastSamplesForRise = 32;
constexpr std::uint32_t kRiseFactor = 4;
constexpr std::uint32_t kLeastSlowMicroseconds = 2000;
constexpr int kSlowSamplesForRise = 6;
// The latest eight samples decide, one bit each.
constexpr std::uint32_t kSlowMask = 0xFF;

} // namespace

LatencyVerdict
LatencyWindow::Record(std::uint32_t aMicroseconds)
{
  const bool hasBaseline = mCount >= kLeastSamplesForRise;
  const std::uint32_t bound = std::max(mMedian * kRiseFactor, kLeastSlowMicroseconds);
  mTimes[mCount % kSize] = aMicroseconds;
  ++mCount;
  if (mCount < kSamplesBetweenQuantiles || mCount % kSamplesBetweenQuantiles == 0) {
    ComputeQuantiles();
  }
  return hasBaseline ? RecordSlow(aMicroseconds > bound) : LatencyVerdict::Usual;
}

void
LatencyWindow::Reset()
{
  *this = LatencyWindow();
}

LatencyVerdict
LatencyWindow::RecordSlow(bool aIsSlow)
{
  mSlowBits = ((mSlowBits << 1U) | (aIsSlow ? 1U : 0U)) & kSlowMask;
  if (std::popcount(mSlowBits) < kSlowSamplesForRise) {
    return aIsSlow ? LatencyVerdict::Slow : LatencyVerdict::Usual;
  }
  mSlowBits = 0;
  return LatencyVerdict::Risen;
}

void
LatencyWindow::ComputeQuantiles()
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
