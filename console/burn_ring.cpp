#include "console/burn_ring.h"

#include <algorithm>

namespace skylarkwing::console {

BurnRing::BurnRing(core::Duration aWidth, std::size_t aBuckets)
  : mWidth(aWidth)
  , mBuckets(aBuckets)
{
}

void
BurnRing::Add(core::TimePoint aNow, const BurnCounts& aCounts)
{
  const std::int64_t number = NumberAt(aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % mBuckets.size()];
  if (bucket.number != number) {
    bucket.number = number;
    bucket.counts = BurnCounts();
  }
  bucket.counts += aCounts;
}

BurnCounts
BurnRing::Sum(core::TimePoint aNow, std::size_t aBuckets) const
{
  BurnCounts sum;
  for (const AgedCounts& bucket : Series(aNow)) {
    if (bucket.age < aBuckets) {
      sum += bucket.counts;
    }
  }
  return sum;
}

std::vector<AgedCounts>
BurnRing::Series(core::TimePoint aNow) const
{
  const std::int64_t present = NumberAt(aNow);
  std::vector<AgedCounts> series;
  for (const Bucket& bucket : mBuckets) {
    const std::int64_t age = present - bucket.number;
    const bool isKept = age >= 0 && age < static_cast<std::int64_t>(mBuckets.size());
    if (bucket.number >= 0 && isKept) {
      series.push_back({ static_cast<std::uint32_t>(age), bucket.counts });
    }
  }
  std::sort(series.begin(), series.end(), [](const AgedCounts& aLeft, const AgedCounts& aRight) {
    return aLeft.age < aRight.age;
  });
  return series;
}

std::int64_t
BurnRing::NumberAt(core::TimePoint aTime) const
{
  return aTime.time_since_epoch() / mWidth;
}

} // namespace skylarkwing::console
