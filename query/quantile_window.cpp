#include "query/quantile_window.h"

#include <algorithm>
#include <vector>

namespace skylarkwing::query {

namespace {

constexpr std::size_t kWindowSamples = 256;
constexpr std::size_t kQuantileRefreshSamples = 16;

std::uint32_t
MicrosecondsOf(core::Duration aLatency)
{
  const auto n = std::chrono::duration_cast<std::chrono::microseconds>(aLatency).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(n, 0, UINT32_MAX));
}

} // namespace

QuantileWindow::QuantileWindow()
  : mSamples(kWindowSamples)
{
}

void
QuantileWindow::Record(core::Duration aLatency)
{
  mSamples.push_back(MicrosecondsOf(aLatency));
  if (++mSinceComputed >= kQuantileRefreshSamples) {
    mQuantiles.clear();
    mSinceComputed = 0;
  }
}

core::Duration
QuantileWindow::Quantile(double aQuantile)
{
  if (mSamples.empty()) {
    return {};
  }
  const auto it = mQuantiles.find(aQuantile);
  if (it != mQuantiles.end()) {
    return it->second;
  }
  std::vector<std::uint32_t> samples(mSamples.begin(), mSamples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  const auto position = static_cast<std::size_t>(std::clamp(aQuantile, 0.0, 1.0) * last);
  const auto nth = samples.begin() + static_cast<std::ptrdiff_t>(position);
  std::nth_element(samples.begin(), nth, samples.end());
  const core::Duration value = std::chrono::microseconds{ *nth };
  mQuantiles[aQuantile] = value;
  return value;
}

} // namespace skylarkwing::query
