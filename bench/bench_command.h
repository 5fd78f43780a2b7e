#pragma once

namespace skylarkwing::bench {

/**
 * Runs `skylarkwing bench`: scenarios under the standard and the naive policy, side by side.
 *
 * @param argc count of arguments.
 * @param argv the arguments, the first of them the name of the command.
 * @return 0 when every property held under the standard policy, 1 when one was broken or a run
 *         failed, 2 for wrong usage.
 */
int
RunBench(int argc, char** argv);

} // namespace skylarkwing::bench
