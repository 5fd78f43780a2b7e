#pragma once

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing {

/** Parsed command line of a daemon. */
struct SettingsOptions
{
  std::string settingsFile;
  bool isCheckOnly = false;
  /** Set to the exit code when the command ends after parsing, otherwise -1. */
  int exitCode = -1;
};

/**
 * Parses the options common to all daemons: --settings, --check, --help and --version.
 *
 * @param aCommand name of the command, for messages.
 * @param aHelp text for --help.
 * @param aDefaultFile settings file to use without --settings; empty if --settings is required.
 */
SettingsOptions
ParseSettingsOptions(int aCount,
                     char** aArguments,
                     const char* aCommand,
                     const char* aHelp,
                     const std::string& aDefaultFile);

/**
 * Prints the faults of the settings file, one per line, or with --check that it is valid.
 *
 * @param aFaults the faults found; empty if the file is valid.
 * @return the exit code when the command ends here, nothing when the daemon shall run.
 */
std::optional<int>
ReportSettings(const SettingsOptions& aOptions, const std::vector<std::string>& aFaults);

} // namespace skylarkwing
