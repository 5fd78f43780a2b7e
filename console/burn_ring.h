#pragma once

#include "console/burn_window.h"
#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace skylarkwing::console {

/** Counts of one bucket of a ring, with the age of the bucket. */
struct AgedCounts
{
  /** Age in buckets; 0 is the current bucket. */
  std::uint32_t age = 0;
  BurnCounts counts;
};

/** Ring buffer of counts in time buckets of equal length; the oldest bucket is overwritten. */
class BurnRing
{
public:
  /**
   * @param aWidth the length of a bucket.
   * @param aBuckets number of buckets, including the current one.
   */
  BurnRing(core::Duration aWidth, std::size_t aBuckets);

  /** Adds to the current bucket. */
  void Add(core::TimePoint aNow, const BurnCounts& aCounts);

  /** @return the sum of the newest buckets, including the current one. */
  BurnCounts Sum(core::TimePoint aNow, std::size_t aBuckets) const;

  /** @return the non-empty buckets, newest first. */
  std::vector<AgedCounts> Series(core::TimePoint aNow) const;

private:
  struct Bucket
  {
    std::int64_t number = -1;
    BurnCounts counts;
  };

  core::Duration mWidth;
  std::vector<Bucket> mBuckets;

  std::int64_t NumberAt(core::TimePoint aTime) const;
};

} // namespace skylarkwing::console
