#pragma once

#include "core/timer_service.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
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

} // namespace skylarkwing::query
