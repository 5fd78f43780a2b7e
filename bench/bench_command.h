#pragma once

namespace skylarkwing::bench {

/**
 * Runs `skylarkwing bench`: scenarios under the standard and the naive policy, with a comparison of
 * the results.
 *
 * @param aCount number of arguments.
 * @param aArguments the arguments, the first of them the name of the command.
 * @return 0 when no property was violated under the standard policy, 1 on a violation or a failed
 *         run, 2 on a usage error.
 */
int
RunBench(int aCount, char** aArguments);

} // namespace skylarkwing::bench
