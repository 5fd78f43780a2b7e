#pragma once

namespace skylarkwing {

/**
 * `skylarkwing explain`: reconstructs from logs what happened to a request.
 *
 * @return the exit code.
 */
int
RunExplain(int aCount, char** aArguments);

} // namespace skylarkwing
