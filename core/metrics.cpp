#include "core/metrics.h"

#include <prometheus/text_serializer.h>

namespace skylarkwing::core {

Metrics::Metrics()
  : mRegistry(std::make_shared<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge))
{
}

prometheus::Counter&
Metrics::Counter(const std::string& aName, const std::string& aHelp, const Labels& aLabels)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(*mRegistry).Add(aLabels);
}

prometheus::Gauge&
Metrics::Gauge(const std::string& aName, const std::string& aHelp, const Labels& aLabels)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(*mRegistry).Add(aLabels);
}

prometheus::Histogram&
Metrics::Histogram(const std::string& aName,
                   const std::string& aHelp,
                   const Buckets& aBuckets,
                   const Labels& aLabels)
{
  auto& family = prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(*mRegistry);
  return family.Add(aLabels, aBuckets);
}

std::string
Metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace skylarkwing::core
