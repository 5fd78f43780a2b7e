#pragma once

#include "declaration/declaration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::bench {

/** @return the names of the built-in deployments. */
std::vector<std::string>
BuiltinDeploymentNames();

/**
 * Returns a deployment for demonstrations and experiments that needs no file. It is equal to the
 * file of the same name in `deployments/`.
 *
 * @return the declaration, or nothing when the name is unknown.
 */
std::optional<declaration::Declaration>
BuiltinDeployment(std::string_view aName);

} // namespace skylarkwing::bench
