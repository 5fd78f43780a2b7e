#pragma once

#include <memory>

namespace skylarkwing::bench {

/**
 * Keeps an object until the process ends, without ever running its destructor. For objects that
 * cut-off tasks still refer to. From the thread that runs the experiment only.
 */
void
KeepUntilExit(std::shared_ptr<void> aObject);

} // namespace skylarkwing::bench
