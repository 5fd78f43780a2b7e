#pragma once

#include "core/timer_service.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkwing::console {

/** Latency histogram with buckets that grow by a factor of 2^(1/4), from 1 ms to about 16 s. */
class LatencyHistogram
{
public:
  /** Counts one answer. */
  void Record(core::Duration aLatency);

  /** Adds the counts of another histogram. */
  void Merge(const LatencyHistogram& aOther);

  /**
   * @param aShare the quantile, 0 to 1.
   * @return the upper bound of its bucket in milliseconds, 0 without answers.
   */
  double Quantile(double aShare) const;

  /** @return [[bucket, count], ...] for the non-empty buckets. */
  nlohmann::json ToJson() const;

  /** Adds the counts of ToJson(); throws nlohmann::json::exception on another layout. */
  void MergeJson(const nlohmann::json& aJson);

private:
  static constexpr std::size_t kBuckets = 57;

  std::array<std::uint64_t, kBuckets> mCounts{};
};

} // namespace skylarkwing::console
