#pragma once

#include "declaration/routing_table.h"

#include <cstddef>
#include <vector>

namespace skylarkwing::caller {

/**
 * Chooses the service that takes one request of a route, in proportion to the weights.
 *
 * The room that a service has is left out on purpose: moving its requests to another one would
 * change the proportions that the operator set.
 *
 * @param aServices at least one.
 * @param aFraction a random number from 0 to below 1.
 * @return an index.
 */
std::size_t
ChooseByWeight(const std::vector<declaration::WeightedService>& aServices, double aFraction);

} // namespace skylarkwing::caller
