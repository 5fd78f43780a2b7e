#pragma once

#include "console/cluster_status.h"
#include "console/console_hooks.h"

#include <string>
#include <vector>

namespace skylarkwing::console {

/** @return the status as text for a terminal. */
std::string
ToText(const ClusterStatus& aStatus);

/** @return one line on the number of VMs where the generation is in force. */
std::string
DescribeForce(const ClusterStatus& aStatus);

/** @return a change record as text for a terminal, in one or more lines. */
std::string
ToText(const declaration::ChangeRecord& aRecord);

/** @return the outcome of a change as text for a terminal. */
std::string
ToText(const ChangeOutcome& aOutcome);

} // namespace skylarkwing::console
