#include "core/log.h"
#include "soak/soak_run.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

namespace {

using skylarkwing::soak::SoakOptions;
using skylarkwing::soak::SoakRun;

constexpr const char* kHelp =
  "Usage: soak --program FILE [--seed N] [--seconds N] [--processes N] [--clients N] [--folder "
  "DIR]\n"
  "            [--other-program FILE]\n"
  "\n"
  "Runs daemons as processes under random faults and checks every response. Logs are kept if a\n"
  "guarantee was violated or --folder is given. Every second pair of daemons runs the other\n"
  "program, if one is given. Exit codes: 0 no violations, 1 violations or a\n"
  "failed run, 2 wrong usage.\n";

bool
ParseOptions(int aCount, char** aArguments, SoakOptions& aOptions)
{
  const std::array<option, 9> known{ { { "program", required_argument, nullptr, 'p' },
                                       { "seed", required_argument, nullptr, 's' },
                                       { "seconds", required_argument, nullptr, 't' },
                                       { "processes", required_argument, nullptr, 'n' },
                                       { "clients", required_argument, nullptr, 'c' },
                                       { "folder", required_argument, nullptr, 'f' },
                                       { "other-program", required_argument, nullptr, 'o' },
                                       { "help", no_argument, nullptr, 'h' },
                                       {} } };
  int name = 0;
  while ((name = getopt_long(aCount, aArguments, "", known.data(), nullptr)) != -1) {
    switch (name) {
      case 'p':
        aOptions.program = optarg;
        break;
      case 's':
        aOptions.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        aOptions.seconds = std::atoi(optarg);
        break;
      case 'n':
        aOptions.processes = std::atoi(optarg);
        break;
      case 'c':
        aOptions.clients = std::atoi(optarg);
        break;
      case 'f':
        aOptions.folder = optarg;
        break;
      case 'o':
        aOptions.otherProgram = optarg;
        break;
      default:
        return false;
    }
  }
  return !aOptions.program.empty() && aOptions.processes > 0 && aOptions.clients > 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  SoakOptions options;
  if (!ParseOptions(aCount, aArguments, options)) {
    std::cerr << kHelp;
    return 2;
  }
  const bool mustKeepLogs = !options.folder.empty();
  if (!mustKeepLogs) {
    options.folder = (std::filesystem::temp_directory_path() /
                      ("skylarkwing-soak-" + std::to_string(options.seed)))
                       .string();
  }
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  skylarkwing::core::InitializeLog(skylarkwing::core::LogLevel::Error,
                                   skylarkwing::core::LogFormat::Plain);
  try {
    SoakRun run(options);
    const auto violations = run.Execute();
    const auto& counts = run.Counts();
    std::cout << "seed " << options.seed << ": " << counts.faults << " faults, " << counts.sent
              << " sent, " << counts.answered << " answered (" << counts.partial << " partial), "
              << counts.refused << " refused, " << counts.failed << " failed, " << counts.unanswered
              << " unanswered, " << run.EndsUnderRequests() << " ends under requests, "
              << run.MisbehavingClientCount() << " misbehaving clients, " << violations.size()
              << " violations\n";
    for (const std::string& violation : violations) {
      std::cout << "  " << violation << '\n';
    }
    if (!violations.empty()) {
      std::cout << "  logs: " << options.folder << '\n';
      return 1;
    }
  } catch (const std::exception& error) {
    std::cerr << "seed " << options.seed << ": " << error.what() << '\n';
    return 1;
  }
  if (!mustKeepLogs) {
    std::filesystem::remove_all(options.folder);
  }
  return 0;
}
