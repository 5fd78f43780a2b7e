#pragma once

#include "declaration/declaration.h"
#include "membership/member.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** The VM that owns each replica, by replica name. */
using OwnerMap = std::map<std::string, std::string>;

/**
 * Assigns every replica of a declaration an owner by rendezvous hashing.
 *
 * All daemons with the same members and declaration compute the same owners. A replica prefers
 * members of its own failure domain. The replicas of a service get different owners if there are
 * enough members, and at least two owners if there are two members. When a member joins or leaves,
 * only services with replicas that it owns are affected. A member in a failure domain that is out
 * of service owns only replicas of that domain, which get no work.
 *
 * @param aDeclaration the configuration in force.
 * @param aMembers the members that may own replicas.
 * @return the owner of each replica; empty when there are no members.
 */
OwnerMap
AssignOwners(const declaration::Declaration& aDeclaration, const std::vector<Member>& aMembers);

} // namespace skylarkwing::membership
