#pragma once

#include "query/index_view.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

/**
 * Chooses the replica that runs the canary of a fingerprint by rendezvous hashing.
 *
 * Every daemon chooses the same replica, so a search that crashes replicas reaches the same few
 * ones even when many callers send it to several daemons at once.
 *
 * @param aView the index.
 * @param aHolders positions in IndexView::replicas of the replicas that hold the shard.
 * @param aExcluded replicas that must not be chosen.
 * @param aFingerprint seed of the hash.
 * @return the eligible replica with the highest hash, or nullptr when there is none.
 */
const IndexReplica*
ChooseCanaryReplica(const IndexView& aView,
                    const std::vector<std::size_t>& aHolders,
                    const std::set<std::string>& aExcluded,
                    std::uint64_t aFingerprint);

/** @return the shard on which the canary of a fingerprint runs first. */
std::uint32_t
ChooseCanaryShard(std::uint64_t aFingerprint, std::uint32_t aShardCount);

} // namespace skylarkwing::query
