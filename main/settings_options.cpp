#include "main/settings_options.h"

#include "core/exit_code.h"

#include <getopt.h>

#include <array>
#include <iostream>

namespace skylarkwing {

namespace {

constexpr int kSettings = 's';
constexpr int kCheck = 'c';
constexpr int kHelpOption = 'h';
constexpr int kVersion = 'v';

} // namespace

SettingsOptions
ParseSettingsOptions(int aCount,
                     char** aArguments,
                     const char* aCommand,
                     const char* aHelp,
                     const std::string& aDefaultFile)
{
  const std::array<option, 5> known{ { { "settings", required_argument, nullptr, kSettings },
                                       { "check", no_argument, nullptr, kCheck },
                                       { "help", no_argument, nullptr, kHelpOption },
                                       { "version", no_argument, nullptr, kVersion },
                                       {} } };
  SettingsOptions options;
  options.settingsFile = aDefaultFile;
  optind = 1;
  int name = 0;
  while ((name = getopt_long(aCount, aArguments, "", known.data(), nullptr)) != -1) {
    switch (name) {
      case kSettings:
        options.settingsFile = optarg;
        break;
      case kCheck:
        options.isCheckOnly = true;
        break;
      case kHelpOption:
        std::cout << aHelp;
        options.exitCode = core::kExitSuccess;
        return options;
      case kVersion:
        std::cout << "skylarkwing " << SKYLARKWING_VERSION << '\n';
        options.exitCode = core::kExitSuccess;
        return options;
      default:
        options.exitCode = core::kExitUsage;
        return options;
    }
  }
  if (options.settingsFile.empty() || optind != aCount) {
    std::cerr << "skylarkwing " << aCommand << ": --settings FILE is required; see --help\n";
    options.exitCode = core::kExitUsage;
  }
  return options;
}

std::optional<int>
ReportSettings(const SettingsOptions& aOptions, const std::vector<std::string>& aFaults)
{
  for (const std::string& fault : aFaults) {
    std::cerr << fault << '\n';
  }
  if (!aFaults.empty()) {
    return core::kExitUsage;
  }
  if (aOptions.isCheckOnly) {
    std::cout << aOptions.settingsFile << ": valid\n";
    return core::kExitSuccess;
  }
  return std::nullopt;
}

} // namespace skylarkwing
