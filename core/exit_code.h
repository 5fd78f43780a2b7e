#pragma once

namespace skylarkwing::core {

// Exit codes of all subcommands.

constexpr int kExitSuccess = 0;
/** The operation was rejected or failed. */
constexpr int kExitFailure = 1;
/** Invalid command line or settings. */
constexpr int kExitUsage = 2;
/** It is unknown whether the operation took effect. */
constexpr int kExitUnknown = 3;

} // namespace skylarkwing::core
