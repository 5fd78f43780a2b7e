#pragma once

#include "core/json_reader.h"

namespace skylarkwing::core {

/** Names stand in URL paths, store keys and metric labels, so they use no other characters. */
const TextRule&
NameRule();

/** A text for people: a deployment, a region. */
const TextRule&
TitleRule();

/** A longer text for people, which may be empty. */
const TextRule&
RemarkRule();

/** Where a process listens. */
const TextRule&
AddressRule();

} // namespace skylarkwing::core
