#pragma once

namespace skylarkwing::core {

/** Exit codes of every subcommand. */
constexpr int kExitDone = 0;
/** Refused, or it failed. */
constexpr int kExitFailed = 1;
/** The command line or the settings are wrong. */
constexpr int kExitUsage = 2;
/** Whether it took effect is unknown. */
constexpr int kExitUnknown = 3;

} // namespace skylarkwing::core
