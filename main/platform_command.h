#pragma once

namespace skylarkwing {

/**
 * Runs a daemon on the division's platform until SIGTERM.
 *
 * @return the process's exit code.
 */
int
RunPlatform(int aCount, char** aArguments);

} // namespace skylarkwing
