#include "bench/demo_command.h"

#include "bench/builtin_deployment.h"
#include "bench/command_options.h"
#include "bench/experiment.h"
#include "core/exit_code.h"
#include "core/log.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <getopt.h>

namespace skylarkwing::bench {

namespace {

using core::kExitFailure;
using core::kExitSuccess;

constexpr std::uint64_t kMaxSeconds = 3600;
constexpr double kPercent = 100.0;

/** Options of the command line. */
struct DemoOptions
{
  std::vector<std::string> deployments = BuiltinDeploymentNames();
  std::chrono::seconds length{ 20 };
  std::uint64_t seed = 1;
  bool isJson = false;
  bool isHelp = false;
  std::string externalFolder;
};

void
PrintHelp()
{
  std::cout
    << "Usage: skylarkwing demo [OPTIONS]\n\n"
       "Runs eight daemons and stand-ins of the upstreams, the store and the VM list in one\n"
       "process on loopback under load with a few injected faults, and prints the results.\n\n"
       "  --deployment NAME  adebayo or brezelkar; default both\n"
       "  --seconds N        length of the load for each deployment; default 20\n"
       "  --seed N           random seed of the callers and the stand-ins; default 1\n"
       "  --external DIR     write the daemons' settings to DIR without starting them; start\n"
       "                     each with `skylarkwing serve --settings DIR/vm-1.json` and so on;\n"
       "                     needs one deployment, injects no faults\n"
       "  --json             print one JSON document\n"
       "  --help             print this\n"
       "  --version          print the version\n\n"
       "Exit codes: 0 no property violated, 1 violation or no query answered, 2 usage error.\n";
}

/** @return the usage error, or nothing. */
std::optional<std::string>
ReadOption(int aOption, const char* aValue, DemoOptions& aOptions)
{
  switch (aOption) {
    case 'd':
      if (!BuiltinDeployment(aValue)) {
        return "--deployment must be adebayo or brezelkar, not \"" + std::string(aValue) + '"';
      }
      aOptions.deployments = { aValue };
      return std::nullopt;
    case 's': {
      const auto seconds = ParseUnsigned(aValue, 1, kMaxSeconds);
      if (!seconds) {
        return "--seconds must be a whole number from 1 to 3600, not \"" + std::string(aValue) +
               '"';
      }
      aOptions.length = std::chrono::seconds{ *seconds };
      return std::nullopt;
    }
    case 'e': {
      const auto seed = ParseUnsigned(aValue, 0, UINT32_MAX);
      if (!seed) {
        return "--seed must be a whole number, not \"" + std::string(aValue) + '"';
      }
      aOptions.seed = *seed;
      return std::nullopt;
    }
    case 'x':
      aOptions.externalFolder = aValue;
      return std::nullopt;
    case 'j':
      aOptions.isJson = true;
      return std::nullopt;
    case 'h':
      aOptions.isHelp = true;
      return std::nullopt;
    default:
      return "unknown option or missing value";
  }
}

/** @return the exit code when the command is finished, or nothing to continue. */
std::optional<int>
ReadOptions(int aCount, char** aArguments, DemoOptions& aOptions)
{
  static const std::array<option, 8> kOptions{ { { "deployment", required_argument, nullptr, 'd' },
                                                 { "seconds", required_argument, nullptr, 's' },
                                                 { "seed", required_argument, nullptr, 'e' },
                                                 { "external", required_argument, nullptr, 'x' },
                                                 { "json", no_argument, nullptr, 'j' },
                                                 { "help", no_argument, nullptr, 'h' },
                                                 { "version", no_argument, nullptr, 'v' },
                                                 { nullptr, 0, nullptr, 0 } } };
  optind = 1;
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    if (code == 'v') {
      std::cout << "skylarkwing " << SKYLARKWING_VERSION << '\n';
      return kExitSuccess;
    }
    const auto error = ReadOption(code, optarg, aOptions);
    if (error) {
      return FailUsage("demo", *error);
    }
  }
  if (optind < aCount) {
    return FailUsage("demo", "unexpected \"" + std::string(aArguments[optind]) + '"');
  }
  if (aOptions.isHelp) {
    PrintHelp();
    return kExitSuccess;
  }
  if (!aOptions.externalFolder.empty() && aOptions.deployments.size() != 1) {
    return FailUsage("demo", "--external needs one --deployment");
  }
  return std::nullopt;
}

void
PrintCounts(const std::string& aTitle, const nlohmann::json& aCounts)
{
  std::cout << "  " << aTitle << ':';
  bool isAny = false;
  for (const auto& [name, count] : aCounts.items()) {
    if (count.get<std::uint64_t>() > 0) {
      std::cout << ' ' << name << ' ' << count;
      isAny = true;
    }
  }
  std::cout << (isAny ? "\n" : " none\n");
}

void
PrintResult(const ExperimentResult& aRun)
{
  const LoadResult& load = aRun.load;
  std::cout << aRun.deployment << " (seed " << aRun.seed << ")\n" << std::fixed;
  if (!aRun.error.empty()) {
    std::cout << "  failed to start: " << aRun.error << '\n';
    return;
  }
  std::cout << std::setprecision(2) << "  queries:        " << load.sent << " sent, "
            << load.answered << " answered (" << kPercent * load.AnsweredShare() << " %), "
            << load.complete << " complete\n"
            << std::setprecision(1) << "  latency:        p50 " << load.LatencyMs(0.5)
            << " ms, p99 " << load.LatencyMs(0.99) << " ms, late " << load.late << '\n'
            << std::setprecision(3) << "  coverage:       " << kPercent * load.Coverage() << " %\n"
            << "  extra load:     " << kPercent * load.ExtraLoad() << " % of " << load.partsNeeded
            << " parts\n";
  PrintCounts("refusals", load.refusals);
  PrintCounts("property violations at upstreams", load.properties);
  PrintCounts("property violations at callers", load.faults);
}

} // namespace

int
RunDemo(int aCount, char** aArguments)
{
  DemoOptions options;
  const std::optional<int> end = ReadOptions(aCount, aArguments, options);
  if (end) {
    return *end;
  }
  core::InitializeLog(core::LogLevel::Error, core::LogFormat::Plain);
  bool hasPassed = true;
  nlohmann::json runs = nlohmann::json::array();
  for (const std::string& name : options.deployments) {
    ExperimentOptions experiment;
    experiment.declaration = *BuiltinDeployment(name);
    experiment.scenario = DemoScenario();
    if (!options.externalFolder.empty()) {
      experiment.scenario.events.clear();
      experiment.externalFolder = options.externalFolder;
    }
    experiment.scenario.length = options.length;
    experiment.seed = options.seed;
    const ExperimentResult result =
      RunExperiment(experiment, TerminalProgress(name, options.length));
    EndProgress();
    hasPassed = hasPassed && result.error.empty() && result.load.ViolationCount() == 0 &&
                result.load.answered > 0;
    if (options.isJson) {
      runs.push_back({ { "deployment", name },
                       { "seed", result.seed },
                       { "error", result.error },
                       { "load", result.load },
                       { "store", result.store } });
    } else {
      PrintResult(result);
    }
  }
  if (options.isJson) {
    constexpr int kIndent = 2;
    std::cout << nlohmann::json{ { "runs", runs } }.dump(kIndent) << '\n';
  }
  return hasPassed ? kExitSuccess : kExitFailure;
}

} // namespace skylarkwing::bench
