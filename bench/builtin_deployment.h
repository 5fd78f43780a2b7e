#pragma once

#include "declaration/declaration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::bench {

/** @return the names of the deployments that are built in. */
std::vector<std::string>
BuiltinDeploymentNames();

/**
 * A deployment that demonstrations and experiments run without any file. It equals the file of its
 * name in `deployments/`.
 *
 * @return the declaration, or nothing when there is none of that name.
 */
std::optional<declaration::Declaration>
BuiltinDeployment(std::string_view aName);

} // namespace skylarkwing::bench
