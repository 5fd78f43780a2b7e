#pragma once

#include "query/index_view.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

/**
 * Chooses the replica for a fingerprint's first part.
 *
 * The order over a shard's holders is fixed by the fingerprint and equal on every daemon, so that
 * one fingerprint that many callers send at a time still meets the same replicas.
 *
 * @param aView the index.
 * @param aHolders positions of the holders in the view.
 * @param aTried replicas that must not be chosen.
 * @param aFingerprint fixes the order.
 * @return the first replica in the order that may get work, or nullptr.
 */
const IndexReplica*
ChooseCanaryReplica(const IndexView& aView,
                    const std::vector<std::size_t>& aHolders,
                    const std::set<std::string>& aTried,
                    std::uint64_t aFingerprint);

/** @return the shard that a fingerprint's first part asks. */
std::uint32_t
ChooseCanaryShard(std::uint64_t aFingerprint, std::uint32_t aShardCount);

} // namespace skylarkwing::query
