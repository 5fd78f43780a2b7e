#pragma once

#include "declaration/routing_table.h"
#include "upstream/request_terms.h"

#include <optional>

namespace skylarkwing::caller {

/**
 * Combines what a route and a customer say of a request: the customer's priority goes before the
 * route's, and the regions of both apply.
 *
 * @param aCustomer null for callers without a key.
 * @return nothing when route and customer have no region in common.
 */
std::optional<upstream::RequestTerms>
MakeRequestTerms(const declaration::Route& aRoute, const declaration::Customer* aCustomer);

} // namespace skylarkwing::caller
