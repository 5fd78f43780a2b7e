#pragma once

#include "declaration/declaration.h"

#include <string>
#include <vector>

namespace skylarkwing::declaration {

/**
 * Finds out whether a change would harm the service, for example leave a service without replicas.
 * Conditions that exist before the change are not reported.
 *
 * @return a description of each harm; empty when the change is harmless.
 */
std::vector<std::string>
FindHarms(const Declaration& aFrom, const Declaration& aTo);

} // namespace skylarkwing::declaration
