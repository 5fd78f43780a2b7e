#pragma once

#include "membership/member_table.h"

#include <cstddef>

namespace skylarkwing::membership {

/** How many daemons of each failure domain watch the store, so that its calls don't grow with them.
 */
constexpr std::size_t kStoreWatchersPerDomain = 2;

/**
 * @return whether this daemon watches the store: it is among the first of its failure domain's
 *         alive members by rendezvous rank. The others hear of changes from their peers.
 */
bool
IsStoreWatcher(const MemberTable& aTable);

} // namespace skylarkwing::membership
