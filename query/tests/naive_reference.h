#pragma once

#include "query/query_result.h"
#include "query/tests/query_fixture.h"

#include <set>

namespace skylarkwing::query::test {

/** Answer of the reference implementation. */
struct NaiveAnswer
{
  std::set<std::uint32_t> answered;
  std::vector<upstream::Hit> hits;
};

/**
 * Reference implementation of a query: asks the replicas of each shard one after the other until
 * one answers for the whole shard. Without deadline, hedges and budgets; the snapshot does not
 * change.
 */
NaiveAnswer
AskSequentially(const std::vector<upstream::ReplicaStatus>& aStatuses,
                std::uint64_t aSnapshot,
                std::uint32_t aShards,
                const std::function<PartBehaviour(const upstream::PartRequest&)>& aBehaviour);

} // namespace skylarkwing::query::test
