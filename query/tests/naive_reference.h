#pragma once

#include "query/query_result.h"
#include "query/tests/query_fixture.h"

#include <set>

namespace skylarkwing::query::test {

/** What a query without any haste or cleverness would answer. */
struct NaiveAnswer
{
  std::set<std::uint32_t> answered;
  std::vector<upstream::Hit> hits;
};

/**
 * Asks each shard of a frozen version in turn, and each of its replicas in turn until one answers
 * for the whole shard.
 */
NaiveAnswer
AskNaively(const std::vector<upstream::ReplicaStatus>& aFacts,
           std::uint64_t aSnapshot,
           std::uint32_t aShards,
           const std::function<PartBehaviour(const upstream::PartRequest&)>& aBehaviour);

} // namespace skylarkwing::query::test
