#pragma once

#include "core/json_reader.h"

namespace skylarkwing::core {

/** Name of an object. Restricted to characters that are safe in URL paths, store keys and metric
 * labels. */
const TextRule&
NameRule();

/** Short text for people, not empty, such as the name of a deployment or region. */
const TextRule&
TitleRule();

/** Longer text for people, may be empty. */
const TextRule&
RemarkRule();

/** IP address and port of a process. */
const TextRule&
AddressRule();

} // namespace skylarkwing::core
