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

constexpr std::uint64_t kLongestSeconds = 3600;
constexpr std::uint64_t kMostNodes = 64;
constexpr std::uint64_t kMostPercent = 10'000;

/** What the command line asks for. */
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
       "Runs scenarios over daemons and stand-ins in this process on loopback, under the standard\n"
       "and the naive policy, with open-loop load, and prints the results side by side.\n\n"
       "  --deployment D     adebayo, brezelkar (if absent) or a file with a declaration\n"
       "  --scenario S       a name in the folder of scenarios, a file, or all; may be repeated;\n"
       "                     steady if absent\n"
       "  --scenarios DIR    the folder of scenarios; bench/scenarios if absent\n"
       "  --policy P         standard, naive or both (if absent)\n"
       "  --seed N           repeats the callers' and the stand-ins' random decisions\n"
       "  --seconds N        length of each run, in place of the scenario's own\n"
       "  --nodes N          entry processes, 8 if absent\n"
       "  --rate PERCENT     load, as a share of the usual one; 100 if absent\n"
       "  --slope NAME       measure a cost against a size in place of scenarios: fan-out, "
       "daemons,\n"
       "                     replicas or codec\n"
       "  --json | --csv     print JSON, or comma-separated values, in place of a table\n"
       "  --html FILE        write a page with plots as well\n"
       "  --help             print this\n"
       "  --version          print the version\n\n"
       "Exit codes: 0 every property held under the standard policy, 1 one was broken or a run\n"
       "failed, 2 wrong usage.\n";
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

/** Reads a whole number into a target. @return what is wrong, or nothing. */
template<typename Target>
std::optional<std::string>
ReadNumber(const char* aOption,
           const char* aValue,
           std::uint64_t aLeast,
           std::uint64_t aMost,
           Target& aTarget)
{
  const auto n = ParseUnsigned(aValue, aLeast, aMost);
  if (!n) {
    return std::string(aOption) + " must be a whole number from " + std::to_string(aLeast) +
           " to " + std::to_string(aMost) + ", not \"" + aValue + '"';
  }
  aTarget = static_cast<Target>(*n);
  return std::nullopt;
}

/** @return what is wrong, or nothing. */
std::optional<std::string>
ReadOption(int aOption, const char* aValue, BenchOptions& aOptions)
{
  std::uint64_t seconds = 0;
  std::optional<std::string> wrong;
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
      wrong = ReadNumber("--seconds", aValue, 1, kLongestSeconds, seconds);
      aOptions.length = std::chrono::seconds{ seconds };
      return wrong;
    case 'n':
      return ReadNumber("--nodes", aValue, 1, kMostNodes, aOptions.nodes);
    case 'r':
      return ReadNumber("--rate", aValue, 1, kMostPercent, aOptions.ratePercent);
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

/** @return the exit code when the command ends here. */
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
  int found = 0;
  while ((found = getopt_long(aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    if (found == 'V') {
      std::cout << "skylarkwing " << SKYLARKWING_VERSION << '\n';
      return kExitSuccess;
    }
    const auto wrong = ReadOption(found, optarg, aOptions);
    if (wrong) {
      return FailUsage("bench", *wrong);
    }
  }
  if (optind < aCount) {
    return FailUsage("bench", "unexpected \"" + std::string(aArguments[optind]) + '"');
  }
  if (aOptions.isJson && aOptions.isCsv) {
    return FailUsage("bench", "--json and --csv exclude each other");
  }
  if (aOptions.isHelp) {
    PrintHelp();
    return kExitSuccess;
  }
  return std::nullopt;
}

std::optional<declaration::Declaration>
FindDeployment(const std::string& aName, std::string& aError)
{
  if (auto builtin = BuiltinDeployment(aName)) {
    return builtin;
  }
  std::ifstream file(aName);
  const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  const auto parsed = declaration::ParseDeclaration(text);
  if (!parsed.declaration) {
    aError = "--deployment " + aName + " is neither built in nor a file with a declaration";
  }
  return parsed.declaration;
}

/** @return the files of all scenarios that are asked for. */
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

/** Says on standard error how one run ended, so that a long series shows where it is. */
void
ReportRun(const ExperimentResult& aRun)
{
  constexpr double kP99 = 0.99;
  constexpr double kPercent = 100.0;
  std::cerr << aRun.scenario << ' ' << NameOf(aRun.policy) << " seed " << aRun.seed;
  if (!aRun.error.empty()) {
    std::cerr << ": did not run: " << aRun.error << '\n';
    return;
  }
  std::cerr << std::fixed << std::setprecision(2) << ": answered "
            << kPercent * aRun.load.AnsweredShare() << " %, p99 " << aRun.load.LatencyMs(kP99)
            << " ms, coverage " << kPercent * aRun.load.Coverage() << " %, broken "
            << aRun.load.Broken() << '\n';
}

std::vector<ExperimentResult>
RunAll(const BenchOptions& aOptions,
       const declaration::Declaration& aDeclaration,
       const std::vector<Scenario>& aScenarios)
{
  constexpr double kWhole = 100.0;
  std::vector<ExperimentResult> results;
  for (const Scenario& scenario : aScenarios) {
    for (const Policy policy : aOptions.policies) {
      ExperimentOptions experiment;
      experiment.declaration = aDeclaration;
      experiment.policy = policy;
      experiment.scenario = scenario;
      experiment.nodes = aOptions.nodes;
      experiment.rate = static_cast<double>(aOptions.ratePercent) / kWhole;
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
IsGood(const ExperimentResult& aRun)
{
  const bool isBroken = aRun.policy == Policy::Standard && aRun.load.Broken() > 0;
  return aRun.error.empty() && !isBroken;
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
  const auto declaration = FindDeployment(options.deployment, error);
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
      std::cerr << "skylarkwing bench: " << run.scenario << " did not run: " << run.error << '\n';
    }
  }
  return std::all_of(results.begin(), results.end(), IsGood) ? kExitSuccess : kExitFailure;
}

} // namespace skylarkwing::bench
