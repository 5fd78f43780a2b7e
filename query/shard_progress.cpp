#include "query/shard_progress.h"

namespace skylarkwing::query {

Coverage
CoverageOf(const std::vector<ShardProgress>& aShards)
{
  Coverage coverage;
  coverage.total = static_cast<std::uint32_t>(aShards.size());
  for (std::uint32_t n = 0; n < coverage.total; ++n) {
    if (aShards[n].isAnswered) {
      ++coverage.answered;
    } else {
      coverage.missing.push_back(n);
    }
  }
  return coverage;
}

double
ShareOf(const Coverage& aCoverage)
{
  return aCoverage.total == 0 ? 0.0 : static_cast<double>(aCoverage.answered) / aCoverage.total;
}

} // namespace skylarkwing::query
