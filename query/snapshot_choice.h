#pragma once

#include "query/index_view.h"

#include <cstdint>
#include <optional>
#include <set>

namespace skylarkwing::query {

/** A snapshot that a query may use, and the coverage that can be expected of it. */
struct SnapshotChoice
{
  std::uint64_t snapshot = 0;
  std::uint32_t shardCount = 0;
  /** Shards with at least one replica that may be sent work. */
  std::uint32_t answerable = 0;

  /** @return the answerable share of the snapshot's shards, 0 to 1. */
  double AnswerableShare() const;
};

/**
 * Chooses the snapshot for a query: the newest one whose shards are all answerable, otherwise the
 * one with the largest answerable share, on a tie the newer one.
 *
 * Replicas in an unknown state count only when no snapshot is fully answerable without them.
 *
 * @param aView the index.
 * @param aExcluded snapshots that must not be chosen.
 * @return the choice, or nothing when no shard of any snapshot is answerable.
 */
std::optional<SnapshotChoice>
ChooseSnapshot(const IndexView& aView, const std::set<std::uint64_t>& aExcluded);

} // namespace skylarkwing::query
