#pragma once

#include "declaration/declaration.h"
#include "membership/ownership.h"
#include "upstream/part_dispatcher.h"

#include <functional>
#include <string>
#include <vector>

namespace skylarkwing::daemon {

/**
 * Lists the replicas that a daemon owns.
 *
 * @param aDeclaration the configuration in force.
 * @param aIsOwned whether the daemon owns a replica.
 */
std::vector<upstream::OwnedReplica>
ListOwnedReplicas(const declaration::Declaration& aDeclaration,
                  const std::function<bool(const std::string& aReplica)>& aIsOwned);

/** @return whether operators have taken a failure domain out of service. */
bool
IsDomainOut(const declaration::Declaration& aDeclaration, const std::string& aFailureDomain);

} // namespace skylarkwing::daemon
