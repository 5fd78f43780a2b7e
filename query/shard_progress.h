#pragma once

#include "query/query_result.h"
#include "upstream/part.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** Progress of one shard of a query. */
struct ShardProgress
{
  /** Whether attempts are running or may still be sent. */
  bool isOpen = false;
  /** Whether a replica gave a complete answer for the shard. */
  bool isAnswered = false;
  bool mayHaveRun = false;
  bool sawWrongSnapshot = false;
  /** Whether a replica crashed while it ran the query for this shard. */
  bool hasCrashed = false;
  std::uint32_t running = 0;
  std::uint32_t hedges = 0;
  /** Attempts sent to another replica because the status of the first one was stale. */
  std::uint32_t reroutes = 0;
  std::set<std::string> tried;
  std::vector<upstream::Hit> hits;

  /** @return whether the shard has no complete answer and no attempts left. */
  bool IsUnanswerable() const { return !isOpen && !isAnswered; }
};

/** @return the coverage of an answer from these shards, which are all shards of one snapshot. */
Coverage
CoverageOf(const std::vector<ShardProgress>& aShards);

/** @return the answered share, 0 to 1. */
double
ShareOf(const Coverage& aCoverage);

} // namespace skylarkwing::query
