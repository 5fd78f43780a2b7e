#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace skylarkwing::core {

/**
 * Metrics registry of one daemon. Each component registers its own metrics once and keeps
 * references.
 *
 * Names follow the Prometheus conventions: `skylarkwing_<component>_<what>_<unit>[_total]`.
 */
class Metrics
{
public:
  /** Labels of one time series. */
  using Labels = std::map<std::string, std::string>;

  /** Upper bounds of the histogram buckets, in the unit of the metric. */
  using Buckets = prometheus::Histogram::BucketBoundaries;

  Metrics();

  /** @return the counter with this name and labels; the same one on every call. */
  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});

  /** @return the gauge with this name and labels; the same one on every call. */
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});

  /** @return the histogram with this name and labels; the same one on every call. */
  prometheus::Histogram& Histogram(const std::string& aName,
                                   const std::string& aHelp,
                                   const Buckets& aBuckets,
                                   const Labels& aLabels = {});

  /** @return all time series in the Prometheus text format, for `/metrics`. */
  std::string Render() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
};

} // namespace skylarkwing::core
