#include "bench/bench_command.h"

#include "bench/builtin_deployment.h"
#include "bench/command_options.h"
#include "bench/experiment.h"
#include "bench/report_writer.h"
#include "bench/slope_probe.h"
#include "core/exit_code.h"
#include "core/log.h"
#include "declaration/declaration_parser.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include <getopt.h>

namespace skylarkwing::bench {

namespace {

using core::kExitFailure;
using core::kExitSuccess;

constexpr std::uint64_t kMaxSeconds = 3600;
constexpr std::uint64_t kMaxNodes = 64;
constexpr std::uint64_t kMaxRatePercent = 10'000;

/** Options of the command line. */
struct BenchOptions
{
  std::string deployment = "brezelkar";
  std::vector<std::string> scenarios;
  std::string scenarioFolder = "bench/scenarios";
  std::vector<Policy> policies{ Policy::Standard, Policy::Naive };
  std::optional<std::chrono::seconds> length;
  std::uint64_t seed = 1;
  std::uint32_t nodes = 8;
  std::uint64_t ratePercent = 100;
  bool isJson = false;
  bool isCsv = false;
  std::string htmlFile;
  std::string slope;
  bool isHelp = false;
};

void
PrintHelp()
{
  std::cout
    << "Usage: skylarkwing bench [OPTIONS]\n\n"
       "Runs scenarios on daemons and stand-ins in this process on loopback, under the standard\n"
       "and the naive policy, with open-loop load, and prints a comparison of the results.\n\n"
       "  --deployment D     adebayo, brezelkar (default) or a declaration file\n"
       "  --scenario S       a name in the scenario folder, a file, or all; may be repeated;\n"
       "                     default steady\n"
       "  --scenarios DIR    the scenario folder; default bench/scenarios\n"
       "  --policy P         standard, naive or both (default)\n"
       "  --seed N           random seed of the callers and the stand-ins; default 1\n"
       "  --seconds N        length of each run; default as in the scenario\n"
       "  --nodes N          number of entry processes; default 8\n"
       "  --rate PERCENT     load, relative to the default load; default 100\n"
       "  --slope NAME       measure how a cost scales, instead of running scenarios: fan-out,\n"
       "                     daemons, replicas or codec\n"
       "  --json | --csv     print JSON or comma-separated values instead of a table\n"
       "  --html FILE        also write an HTML page with plots\n"
       "  --help             print this\n"
       "  --version          print the version\n\n"
       "Exit codes: 0 no property violated under the standard policy, 1 violation or failed run,\n"
       "2 usage error.\n";
}

std::optional<std::string>
ReadPolicy(const std::string& aValue, BenchOptions& aOptions)
{
  if (aValue == "both") {
    return std::nullopt;
  }
  for (const Policy policy : { Policy::Standard, Policy::Naive }) {
    if (aValue == NameOf(policy)) {
      aOptions.policies = { policy };
      return std::nullopt;
    }
  }
  return "--policy must be standard, naive or both, not \"" + aValue + '"';
}

/** Parses a whole number into a target. @return the usage error, or nothing. */
template<typename Target>
std::optional<std::string>
ReadNumber(const char* aOption,
           const char* aValue,
           std::uint64_t aMin,
           std::uint64_t aMax,
           Target& aTarget)
{
  const auto n = ParseUnsigned(aValue, aMin, aMax);
  if (!n) {
    return std::string(aOption) + " must be a whole number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax) + ", not \"" + aValue + '"';
  }
  aTarget = static_cast<Target>(*n);
  return std::nullopt;
}

/** @return the usage error, or nothing. */
std::optional<std::string>
ReadOption(int aOption, const char* aValue, BenchOptions& aOptions)
{
  std::uint64_t seconds = 0;
  std::optional<std::string> error;
  switch (aOption) {
    case 'd':
      aOptions.deployment = aValue;
      return std::nullopt;
    case 'c':
      aOptions.scenarios.emplace_back(aValue);
      return std::nullopt;
    case 'f':
      aOptions.scenarioFolder = aValue;
      return std::nullopt;
    case 'p':
      return ReadPolicy(aValue, aOptions);
    case 'e':
      return ReadNumber("--seed", aValue, 0, UINT32_MAX, aOptions.seed);
    case 's':
      error = ReadNumber("--seconds", aValue, 1, kMaxSeconds, seconds);
      aOptions.length = std::chrono::seconds{ seconds };
      return error;
    case 'n':
      return ReadNumber("--nodes", aValue, 1, kMaxNodes, aOptions.nodes);
    case 'r':
      return ReadNumber("--rate", aValue, 1, kMaxRatePercent, aOptions.ratePercent);
    case 'j':
      aOptions.isJson = true;
      return std::nullopt;
    case 'v':
      aOptions.isCsv = true;
      return std::nullopt;
    case 'l':
      aOptions.slope = aValue;
      return std::nullopt;
    case 'm':
      aOptions.htmlFile = aValue;
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
ReadOptions(int aCount, char** aArguments, BenchOptions& aOptions)
{
  static const std::array<option, 15> kOptions{ { { "deployment", required_argument, nullptr, 'd' },
                                                  { "scenario", required_argument, nullptr, 'c' },
                                                  { "scenarios", required_argument, nullptr, 'f' },
                                                  { "policy", required_argument, nullptr, 'p' },
                                                  { "seed", required_argument, nullptr, 'e' },
                                                  { "seconds", required_argument, nullptr, 's' },
                                                  { "nodes", required_argument, nullptr, 'n' },
                                                  { "rate", required_argument, nullptr, 'r' },
                                                  { "slope", required_argument, nullptr, 'l' },
                                                  { "json", no_argument, nullptr, 'j' },
                                                  { "csv", no_argument, nullptr, 'v' },
                                                  { "html", required_argument, nullptr, 'm' },
                                                  { "help", no_argument, nullptr, 'h' },
                                                  { "version", no_argument, nullptr, 'V' },
                                                  { nullptr, 0, nullptr, 0 } } };
  optind = 1;
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    if (code == 'V') {
      std::cout << "skylarkwing " << SKYLARKWING_VERSION << '\n';
      return kExitSuccess;
    }
    const auto error = ReadOption(code, optarg, aOptions);
    if (error) {
      return FailUsage("bench", *error);
    }
  }
  if (optind < aCount) {
    return FailUsage("bench", "unexpected \"" + std::string(aArguments[optind]) + '"');
  }
  if (aOptions.isJson && aOptions.isCsv) {
    return FailUsage("bench", "--json and --csv are mutually exclusive");
  }
  if (aOptions.isHelp) {
    PrintHelp();
    return kExitSuccess;
  }
  return std::nullopt;
}

std::optional<declaration::Declaration>
LoadDeployment(const std::string& aName, std::string& aError)
{
  if (auto builtin = BuiltinDeployment(aName)) {
    return builtin;
  }
  std::ifstream file(aName);
  const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  const auto parsed = declaration::ParseDeclaration(text);
  if (!parsed.declaration) {
    aError =
      "--deployment " + aName + " is neither a built-in deployment nor a valid declaration file";
  }
  return parsed.declaration;
}

/** @return the files of the selected scenarios. */
std::vector<std::string>
ScenarioFiles(const BenchOptions& aOptions)
{
  namespace fs = std::filesystem;
  std::vector<std::string> files;
  const std::vector<std::string> names =
    aOptions.scenarios.empty() ? std::vector<std::string>{ "steady" } : aOptions.scenarios;
  for (const std::string& name : names) {
    if (name == "all") {
      std::error_code ec;
      for (const auto& entry : fs::directory_iterator(aOptions.scenarioFolder, ec)) {
        files.push_back(entry.path().string());
      }
      std::sort(files.begin(), files.end());
      continue;
    }
    const fs::path inFolder = fs::path(aOptions.scenarioFolder) / (name + ".json");
    files.push_back(fs::exists(inFolder) ? inFolder.string() : name);
  }
  return files;
}

std::optional<std::vector<Scenario>>
LoadScenarios(const BenchOptions& aOptions, std::string& aError)
{
  std::vector<Scenario> scenarios;
  for (const std::string& file : ScenarioFiles(aOptions)) {
    ScenarioResult loaded = LoadScenario(file);
    if (!loaded.scenario) {
      aError = loaded.error;
      return std::nullopt;
    }
    loaded.scenario->length = aOptions.length.value_or(loaded.scenario->length);
    scenarios.push_back(std::move(*loaded.scenario));
  }
  return scenarios;
}

/** Reports the result of one run on standard error, as progress of a long series. */
void
ReportRun(const ExperimentResult& aRun)
{
  constexpr double kP99 = 0.99;
  constexpr double kPercent = 100.0;
  std::cerr << aRun.scenario << ' ' << NameOf(aRun.policy) << " seed " << aRun.seed;
  if (!aRun.error.empty()) {
    std::cerr << ": failed to start: " << aRun.error << '\n';
    return;
  }
  std::cerr << std::fixed << std::setprecision(2) << ": answered "
            << kPercent * aRun.load.AnsweredShare() << " %, p99 " << aRun.load.LatencyMs(kP99)
            << " ms, coverage " << kPercent * aRun.load.Coverage() << " %, broken "
            << aRun.load.ViolationCount() << '\n';
}

std::vector<ExperimentResult>
RunAll(const BenchOptions& aOptions,
       const declaration::Declaration& aDeclaration,
       const std::vector<Scenario>& aScenarios)
{
  constexpr double kPercent = 100.0;
  std::vector<ExperimentResult> results;
  for (const Scenario& scenario : aScenarios) {
    for (const Policy policy : aOptions.policies) {
      ExperimentOptions experiment;
      experiment.declaration = aDeclaration;
      experiment.policy = policy;
      experiment.scenario = scenario;
      experiment.nodes = aOptions.nodes;
      experiment.rate = static_cast<double>(aOptions.ratePercent) / kPercent;
      experiment.seed = aOptions.seed;
      const std::string title = scenario.name + " " + std::string(NameOf(policy)) + " seed " +
                                std::to_string(aOptions.seed);
      results.push_back(RunExperiment(experiment, TerminalProgress(title, scenario.length)));
      EndProgress();
      ReportRun(results.back());
    }
  }
  return results;
}

void
PrintResults(const BenchOptions& aOptions, const std::vector<ExperimentResult>& aResults)
{
  if (aOptions.isJson) {
    std::cout << ToJsonText(aResults);
  } else if (aOptions.isCsv) {
    std::cout << ToCsv(aResults);
  } else {
    std::cout << ToTable(aResults);
  }
}

int
PrintSlope(const BenchOptions& aOptions)
{
  const std::string table = RunSlope(aOptions.slope, aOptions.seed);
  if (table.empty()) {
    return FailUsage("bench", "--slope must be fan-out, daemons, replicas or codec");
  }
  std::cout << table;
  return kExitSuccess;
}

bool
HasPassed(const ExperimentResult& aRun)
{
  const bool hasViolation = aRun.policy == Policy::Standard && aRun.load.ViolationCount() > 0;
  return aRun.error.empty() && !hasViolation;
}

} // namespace

int
RunBench(int aCount, char** aArguments)
{
  BenchOptions options;
  const std::optional<int> end = ReadOptions(aCount, aArguments, options);
  if (end) {
    return *end;
  }
  core::InitializeLog(core::LogLevel::Error, core::LogFormat::Plain);
  if (!options.slope.empty()) {
    return PrintSlope(options);
  }
  std::string error;
  const auto declaration = LoadDeployment(options.deployment, error);
  const auto scenarios = LoadScenarios(options, error);
  if (!declaration || !scenarios) {
    return FailUsage("bench", error);
  }
  const std::vector<ExperimentResult> results = RunAll(options, *declaration, *scenarios);
  PrintResults(options, results);
  if (!options.htmlFile.empty()) {
    std::ofstream file(options.htmlFile);
    file << ToHtml(results);
    if (!file) {
      std::cerr << "skylarkwing bench: cannot write " << options.htmlFile << '\n';
      return kExitFailure;
    }
  }
  for (const ExperimentResult& run : results) {
    if (!run.error.empty()) {
      std::cerr << "skylarkwing bench: " << run.scenario << " failed to start: " << run.error
                << '\n';
    }
  }
  return std::all_of(results.begin(), results.end(), HasPassed) ? kExitSuccess : kExitFailure;
}

} // namespace skylarkwing::bench
