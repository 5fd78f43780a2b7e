#pragma once

#include <memory>

namespace skylarkwing::bench {

/**
 * Keeps an object alive until the process exits, without running its destructor. For objects that
 * interrupted tasks still refer to. Not thread-safe: to be called on the thread that runs the
 * experiment.
 */
void
KeepUntilExit(std::shared_ptr<void> aObject);

} // namespace skylarkwing::bench
