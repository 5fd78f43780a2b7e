#pragma once

#include "declaration/declaration.h"

#include <string>
#include <vector>

namespace skylarkwing::declaration {

/**
 * Finds the harm that a change would do to the service. Harm that was there before, and stays, is
 * not counted against the change.
 *
 * @return one sentence for each harm; empty when the change does none.
 */
std::vector<std::string>
FindHarms(const Declaration& aFrom, const Declaration& aTo);

} // namespace skylarkwing::declaration
