#pragma once

#include "declaration/declaration.h"
#include "membership/member.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** The owner of each replica: replica name to VM. */
using OwnerMap = std::map<std::string, std::string>;

/**
 * Assigns every replica of a declaration an owner by rendezvous hash.
 *
 * All daemons with the same members and declaration compute the same owners. A replica prefers
 * members of its own failure domain; the replicas of one service get different owners as far as
 * there are members, and never all the same one while there are two. When a member comes or goes,
 * only services with replicas that it owns are affected. A member in a failure domain that was
 * taken out owns nothing but replicas of that same domain, which get no work.
 *
 * @param aDeclaration the configuration in force.
 * @param aMembers the members that may own replicas.
 * @return the owner of each replica; empty when there is nobody to own.
 */
OwnerMap
AssignOwners(const declaration::Declaration& aDeclaration, const std::vector<Member>& aMembers);

} // namespace skylarkwing::membership
