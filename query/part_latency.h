#pragma once

#include "query/quantile_window.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace skylarkwing::query {

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
