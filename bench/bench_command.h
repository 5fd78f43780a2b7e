#pragma once

namespace skylarkwing::bench {

/**
 * Runs `skylarkwing bench`: scenarios under the standard and the naive policy, side by side.
 *
 * @param aCount count of arguments.
 * @param aArguments the arguments, the first of them the name of the command.
 * @return 0 when every property held under the standard policy, 1 when one was broken or a run
 *         failed, 2 for wrong usage.
 */
int
RunBench(int aCount, char** aArguments);

} // namespace skylarkwing::bench
