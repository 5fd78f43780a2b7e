#pragma once

#include "query/query_result.h"
#include "upstream/part.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** What has become of one shard of a query. */
struct ShardProgress
{
  /** Whether attempts are running or may still be made. */
  bool isOpen = false;
  /** Whether a replica answered for the whole shard. */
  bool isAnswered = false;
  bool mayHaveRun = false;
  bool sawWrongSnapshot = false;
  /** Whether a replica crashed while it ran the query for this shard. */
  bool hasCrashed = false;
  std::uint32_t running = 0;
  std::uint32_t hedges = 0;
  /** Attempts that were sent on because the asker's facts were stale. */
  std::uint32_t reroutes = 0;
  /** Replicas that were asked. */
  std::set<std::string> tried;
  std::vector<upstream::Hit> hits;

  /** @return whether no answer for the whole shard will come any more. */
  bool IsUnanswerable() const { return !isOpen && !isAnswered; }
};

/** @return the coverage that the shards of one version give. */
Coverage
CoverageOf(const std::vector<ShardProgress>& aShards);

/** @return the answered share, 0 to 1. */
double
ShareOf(const Coverage& aCoverage);

} // namespace skylarkwing::query
