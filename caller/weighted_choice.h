#pragma once

#include "declaration/routing_table.h"

#include <cstddef>
#include <vector>

namespace skylarkwing::caller {

/**
 * Chooses in proportion to weights.
 *
 * @param aWeights not empty, none negative.
 * @param aFraction a random number in [0, 1).
 * @return an index into `aWeights`.
 */
std::size_t
ChooseByWeight(const std::vector<double>& aWeights, double aFraction);

/**
 * Chooses the service for one request of a route, in proportion to the weights.
 *
 * Ignores the free capacity of the services: moving requests to another service would change the
 * proportions configured by the operator.
 *
 * @param aServices not empty.
 * @param aFraction a random number in [0, 1).
 * @return an index into `aServices`.
 */
std::size_t
ChooseByWeight(const std::vector<declaration::WeightedService>& aServices, double aFraction);

} // namespace skylarkwing::caller
