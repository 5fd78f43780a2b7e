#pragma once

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing {

/** What the command line of a daemon says. */
struct SettingsOptions
{
  std::string settingsFile;
  bool onlyCheck = false;
  /** Set when the command ends here, with this exit code. */
  int exitCode = -1;
};

/**
 * Reads the options that all daemons share: --settings, --check, --help and --version.
 *
 * @param aCommand name of the command, for messages.
 * @param aHelp text for --help.
 * @param aDefaultFile settings file when the command line names none; empty when one is needed.
 */
SettingsOptions
ParseSettingsOptions(int aCount,
                     char** aArguments,
                     const char* aCommand,
                     const char* aHelp,
                     const std::string& aDefaultFile);

/**
 * Says what came of reading the settings: each fault on a line, or with --check that they are
 * right.
 *
 * @param aFaults what keeps the file from being settings; none when it can be used.
 * @return the exit code when the command ends here, nothing when the daemon is to run.
 */
std::optional<int>
ReportSettings(const SettingsOptions& aOptions, const std::vector<std::string>& aFaults);

} // namespace skylarkwing
