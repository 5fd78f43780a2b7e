#pragma once

namespace skylarkwing::console {

/**
 * The operators' commands. Each takes its own name as the first argument and returns the exit code
 * of the process: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.
 */

/** `check FILE`: reads a declaration and lists all of its faults. */
int
RunCheck(int aCount, char** aArguments);

/** `diff FILE`: tells what a declaration would change against the one in force. */
int
RunDiff(int aCount, char** aArguments);

/** `apply FILE`: puts a declaration in force and waits until it is so everywhere. */
int
RunApply(int aCount, char** aArguments);

/** `status`: tells how the deployment is. */
int
RunStatus(int aCount, char** aArguments);

/** `domain out|in NAME`: takes a failure domain out or back. */
int
RunDomain(int aCount, char** aArguments);

/** `history`: tells who changed what, when and why. */
int
RunHistory(int aCount, char** aArguments);

/** `report burn`: reports on service-level burn. */
int
RunReport(int aCount, char** aArguments);

} // namespace skylarkwing::console
