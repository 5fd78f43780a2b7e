#pragma once

namespace skylarkwing::console {

/**
 * The operator commands. Each takes its own name as the first argument and returns the exit code
 * of the process: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.
 */

/** `check FILE`: checks a declaration file and lists all of its faults. */
int
RunCheck(int aCount, char** aArguments);

/** `diff FILE`: shows what a declaration would change against the one in force. */
int
RunDiff(int aCount, char** aArguments);

/** `apply FILE`: applies a declaration and waits until it is in force on every VM. */
int
RunApply(int aCount, char** aArguments);

/** `status`: shows the status of the deployment. */
int
RunStatus(int aCount, char** aArguments);

/** `domain out|in NAME`: takes a failure domain out or back. */
int
RunDomain(int aCount, char** aArguments);

/** `history`: lists who changed what, when and why. */
int
RunHistory(int aCount, char** aArguments);

/** `report burn`: reports on service-level burn. */
int
RunReport(int aCount, char** aArguments);

} // namespace skylarkwing::console
