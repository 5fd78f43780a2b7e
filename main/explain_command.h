#pragma once

namespace skylarkwing {

/**
 * Tells from logs what happened to one request.
 *
 * @return the process's exit code.
 */
int
RunExplain(int aCount, char** aArguments);

} // namespace skylarkwing
