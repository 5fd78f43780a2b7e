#pragma once

#include "core/timer_service.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace skylarkwing::query {

/** Quantiles over a sliding window of the latest latency samples. */
class QuantileWindow
{
public:
  QuantileWindow();

  /** Adds one sample; replaces the oldest one when the window is full. */
  void Record(core::Duration aLatency);

  std::size_t Count() const { return mSamples.size(); }

  /**
   * @param aQuantile the quantile, 0 to 1.
   * @return its value, cached for a few samples; zero without samples.
   */
  core::Duration Quantile(double aQuantile);

private:
  boost::circular_buffer<std::uint32_t> mSamples;
  std::unordered_map<double, core::Duration> mQuantiles;
  std::size_t mSinceComputed = 0;
};

/**
 * Latency of parts by index and shard, as seen by the sending daemon: it includes network transfer
 * and the time in the owner's queue.
 */
class PartLatency
{
public:
  void Record(const std::string& aIndex, std::uint32_t aShard, core::Duration aLatency);

  /**
   * @return the quantile for a shard, or for its index while the shard has too few samples; nothing
   *         while the index has too few samples.
   */
  std::optional<core::Duration> Quantile(const std::string& aIndex,
                                         std::uint32_t aShard,
                                         double aQuantile);

  /** @return the median latency of parts of the index, zero while unknown. */
  core::Duration Median(const std::string& aIndex);

private:
  struct IndexLatency
  {
    QuantileWindow all;
    std::unordered_map<std::uint32_t, QuantileWindow> shards;
  };

  std::unordered_map<std::string, IndexLatency> mIndexes;
};

} // namespace skylarkwing::query
