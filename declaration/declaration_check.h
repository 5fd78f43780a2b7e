#pragma once

#include "core/json_reader.h"
#include "declaration/declaration.h"

#include <vector>

namespace skylarkwing::declaration {

/**
 * Validates constraints between fields: names are unique, references are to declared names, and
 * limits are consistent with each other.
 *
 * @return the faults, each with the JSON Pointer to the field in the declaration.
 */
std::vector<core::JsonFault>
CheckDeclaration(const Declaration& aDeclaration);

} // namespace skylarkwing::declaration
