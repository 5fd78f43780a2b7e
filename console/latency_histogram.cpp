#include "console/latency_histogram.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace skylarkwing::console {

namespace {

constexpr double kBucketsPerDoubling = 4.0;

} // namespace

void
LatencyHistogram::Record(core::Duration aLatency)
{
  const double milliseconds = std::chrono::duration<double, std::milli>(aLatency).count();
  const double bucket = std::ceil(kBucketsPerDoubling * std::log2(std::max(milliseconds, 1.0)));
  ++mCounts[std::min(static_cast<std::size_t>(bucket), kBuckets - 1)];
}

void
LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  for (std::size_t n = 0; n < kBuckets; ++n) {
    mCounts[n] += aOther.mCounts[n];
  }
}

double
LatencyHistogram::Quantile(double aShare) const
{
  const std::uint64_t total = std::accumulate(mCounts.begin(), mCounts.end(), std::uint64_t{ 0 });
  if (total == 0) {
    return 0.0;
  }
  const double rank = aShare * static_cast<double>(total);
  double seen = 0.0;
  std::size_t n = 0;
  for (; n + 1 < kBuckets; ++n) {
    seen += static_cast<double>(mCounts[n]);
    if (seen >= rank && seen > 0.0) {
      break;
    }
  }
  return std::exp2(static_cast<double>(n) / kBucketsPerDoubling);
}

nlohmann::json
LatencyHistogram::ToJson() const
{
  nlohmann::json buckets = nlohmann::json::array();
  for (std::size_t n = 0; n < kBuckets; ++n) {
    if (mCounts[n] > 0) {
      buckets.push_back(nlohmann::json::array({ n, mCounts[n] }));
    }
  }
  return buckets;
}

void
LatencyHistogram::MergeJson(const nlohmann::json& aJson)
{
  for (const nlohmann::json& bucket : aJson) {
    const auto n = bucket.at(0).get<std::size_t>();
    mCounts[std::min(n, kBuckets - 1)] += bucket.at(1).get<std::uint64_t>();
  }
}

} // namespace skylarkwing::console
