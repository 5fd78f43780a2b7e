#pragma once

namespace skylarkwing {

/**
 * `skylarkwing platform`: runs a daemon on the division's platform until SIGTERM or SIGINT.
 *
 * @return the exit code.
 */
int
RunPlatform(int aCount, char** aArguments);

} // namespace skylarkwing
