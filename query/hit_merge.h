#pragma once

#include "upstream/part.h"

#include <cstddef>
#include <vector>

namespace skylarkwing::query {

/**
 * Merges the hits of several shards.
 *
 * @param aHits the hits of all shards, in any order.
 * @param aSize most hits to return.
 * @return the hits with the highest scores, by descending score and then by id, each id once.
 */
std::vector<upstream::Hit>
MergeHits(std::vector<upstream::Hit> aHits, std::size_t aSize);

} // namespace skylarkwing::query
