#pragma once

namespace skylarkwing {

/** What every subcommand's exit code means. */
enum ExitCode : int
{
  kExitDone = 0,
  /** Refused, or it failed. */
  kExitFailed = 1,
  /** The command line or the settings are wrong. */
  kExitUsage = 2,
  /** Whether it took effect is unknown. */
  kExitUnknown = 3,
};

} // namespace skylarkwing
