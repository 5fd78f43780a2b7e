#pragma once

#include "core/timer_service.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace skylarkwing::query {

/** Quantiles of the latest samples of one kind of part. */
class QuantileWindow
{
public:
  QuantileWindow();

  /** Adds one sample and forgets the oldest when the window is full. */
  void Record(core::Duration aLatency);

  /** @return how many samples are held. */
  std::size_t Count() const { return mSamples.size(); }

  /** @return a quantile, 0 to 1, of the samples held; recomputed only every few samples. */
  core::Duration Quantile(double aQuantile);

private:
  boost::circular_buffer<std::uint32_t> mSamples;
  std::unordered_map<double, core::Duration> mQuantiles;
  std::size_t mSinceComputed = 0;
};

/**
 * How long parts take, by index and shard, as the asker sees it: with the way to the owner and
 * the wait in its queue.
 */
class PartLatency
{
public:
  /** Adds one sample. */
  void Record(const std::string& aIndex, std::uint32_t aShard, core::Duration aLatency);

  /**
   * @return a quantile for a shard, that of its whole index while the shard has too few samples,
   *         nothing while the index has too few as well.
   */
  std::optional<core::Duration> Quantile(const std::string& aIndex,
                                         std::uint32_t aShard,
                                         double aQuantile);

  /** @return the usual time of a part of the index, zero while unknown. */
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
