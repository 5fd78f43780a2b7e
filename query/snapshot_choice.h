#pragma once

#include "query/index_view.h"

#include <cstdint>
#include <optional>
#include <set>

namespace skylarkwing::query {

/** A version that a query may take, and what it can be expected to answer. */
struct SnapshotChoice
{
  std::uint64_t snapshot = 0;
  std::uint32_t shardCount = 0;
  /** Shards with at least one replica that may get work. */
  std::uint32_t answerable = 0;

  /** @return the answerable share of the version's shards, 0 to 1. */
  double Share() const;
};

/**
 * Chooses the version for a query: the newest one that every shard can answer, otherwise the one
 * with the largest answerable share, the newer one when even.
 *
 * Replicas whose state is unknown count only when no version is whole without them.
 *
 * @param aView the index.
 * @param aExcluded versions that are known not to answer.
 * @return the choice, or nothing when no version can answer any shard.
 */
std::optional<SnapshotChoice>
ChooseSnapshot(const IndexView& aView, const std::set<std::uint64_t>& aExcluded);

} // namespace skylarkwing::query
