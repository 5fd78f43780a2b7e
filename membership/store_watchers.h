#pragma once

#include "membership/member_table.h"

#include <cstddef>

namespace skylarkwing::membership {

/** Daemons of each failure domain that watch the store; limits its load in a large fleet. */
constexpr std::size_t kStoreWatchersPerDomain = 2;

/**
 * @return whether this daemon watches the store: it is among the first alive members of its failure
 *         domain by rendezvous rank. The others get changes from their peers.
 */
bool
IsStoreWatcher(const MemberTable& aTable);

} // namespace skylarkwing::membership
