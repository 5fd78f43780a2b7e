#pragma once

namespace skylarkwing::bench {

/**
 * Runs `skylarkwing demo`: daemons and stand-ins in one process under load with a few injected
 * faults, and prints the results.
 *
 * @param aCount number of arguments.
 * @param aArguments the arguments, the first of them the name of the command.
 * @return 0 when no property was violated, 1 on a violation or when no query was answered, 2 on a
 *         usage error.
 */
int
RunDemo(int aCount, char** aArguments);

} // namespace skylarkwing::bench
