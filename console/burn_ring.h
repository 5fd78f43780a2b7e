#pragma once

#include "console/burn_window.h"
#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace skylarkwing::console {

/** The counts of one bucket of a ring, by its age. */
struct AgedCounts
{
  /** 0 is the bucket of the present moment. */
  std::uint32_t age = 0;
  BurnCounts counts;
};

/** Counts in buckets of equal length; the oldest falls out as time goes on. */
class BurnRing
{
public:
  /**
   * @param aWidth the length of a bucket.
   * @param aBuckets how many buckets are kept, the present one included.
   */
  BurnRing(core::Duration aWidth, std::size_t aBuckets);

  /** Adds to the present bucket. */
  void Add(core::TimePoint aNow, const BurnCounts& aCounts);

  /** @return the sum of the newest buckets, the present one included. */
  BurnCounts Sum(core::TimePoint aNow, std::size_t aBuckets) const;

  /** @return the buckets that hold anything, newest first. */
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
