#include "query/part_latency.h"

namespace skylarkwing::query {

namespace {

constexpr std::size_t kMinQuantileSamples = 64;
constexpr std::size_t kMinMedianSamples = 8;

} // namespace

void
PartLatency::Record(const std::string& aIndex, std::uint32_t aShard, core::Duration aLatency)
{
  IndexLatency& index = mIndexes[aIndex];
  index.all.Record(aLatency);
  index.shards[aShard].Record(aLatency);
}

std::optional<core::Duration>
PartLatency::Quantile(const std::string& aIndex, std::uint32_t aShard, double aQuantile)
{
  const auto it = mIndexes.find(aIndex);
  if (it == mIndexes.end() || it->second.all.Count() < kMinQuantileSamples) {
    return std::nullopt;
  }
  const auto shard = it->second.shards.find(aShard);
  if (shard == it->second.shards.end() || shard->second.Count() < kMinQuantileSamples) {
    return it->second.all.Quantile(aQuantile);
  }
  return shard->second.Quantile(aQuantile);
}

core::Duration
PartLatency::Median(const std::string& aIndex)
{
  const auto it = mIndexes.find(aIndex);
  if (it == mIndexes.end() || it->second.all.Count() < kMinMedianSamples) {
    return {};
  }
  return it->second.all.Quantile(0.5);
}

} // namespace skylarkwing::query
