#pragma once

#include "core/json_reader.h"
#include "declaration/declaration.h"

#include <vector>

namespace skylarkwing::declaration {

/**
 * Checks what no single field shows: that names are unique, that they refer to something declared,
 * and that limits agree with each other.
 *
 * @return every fault, with the JSON pointer of the field in the declaration's document.
 */
std::vector<core::JsonFault>
CheckDeclaration(const Declaration& aDeclaration);

} // namespace skylarkwing::declaration
