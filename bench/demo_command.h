#pragma once

namespace skylarkwing::bench {

/**
 * Runs `skylarkwing demo`: daemons and stand-ins in one process, load with a few faults, and the
 * figures.
 *
 * @param aCount count of arguments.
 * @param aArguments the arguments, the first of them the name of the command.
 * @return 0 when every property held, 1 when one was broken or nothing ran, 2 for wrong usage.
 */
int
RunDemo(int aCount, char** aArguments);

} // namespace skylarkwing::bench
