#pragma once

#include "upstream/part.h"

#include <cstddef>
#include <vector>

namespace skylarkwing::query {

/**
 * Merges the hits of several shards.
 *
 * @param aHits the hits of all shards, in any order.
 * @param aSize maximum number of hits to return.
 * @return the hits with the highest scores, without duplicate ids, ordered by descending score and
 *         then by id.
 */
std::vector<upstream::Hit>
MergeHits(std::vector<upstream::Hit> aHits, std::size_t aSize);

} // namespace skylarkwing::query
