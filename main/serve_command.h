#pragma once

namespace skylarkwing {

/**
 * `skylarkwing serve --settings FILE`: runs one daemon until SIGTERM or SIGINT.
 *
 * @return the exit code.
 */
int
RunServe(int aCount, char** aArguments);

} // namespace skylarkwing
