#include "main/explain_command.h"

#include "console/request_trace.h"
#include "core/exit_code.h"

#include <getopt.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwing {

namespace {

using core::kExitFailure;
using core::kExitSuccess;
using core::kExitUsage;

constexpr const char* kHelp =
  "Usage: skylarkwing explain [--json] REQUEST [FILE...]\n"
  "\n"
  "Reconstructs what happened to a request from the logs of any number of daemons: its events in\n"
  "order, related state of the daemons, and what the logs do not show. Without FILE, reads\n"
  "standard input.\n"
  "\n"
  "  --json            print JSON\n"
  "  --help            show this text\n"
  "  --version         show the version\n"
  "\n"
  "Exit codes: 0 found, 1 request not found or a file cannot be read, 2 wrong usage.\n";

constexpr int kJson = 'j';
constexpr int kHelpOption = 'h';
constexpr int kVersion = 'v';

/** Parsed command line. */
struct ExplainOptions
{
  bool isJson = false;
  std::string request;
  std::vector<std::string> files;
  /** Set to the exit code when the command ends after parsing, otherwise -1. */
  int exitCode = -1;
};

ExplainOptions
ParseOptions(int aCount, char** aArguments)
{
  const std::array<option, 4> known{ { { "json", no_argument, nullptr, kJson },
                                       { "help", no_argument, nullptr, kHelpOption },
                                       { "version", no_argument, nullptr, kVersion },
                                       {} } };
  ExplainOptions options;
  optind = 1;
  int name = 0;
  while ((name = getopt_long(aCount, aArguments, "", known.data(), nullptr)) != -1) {
    switch (name) {
      case kJson:
        options.isJson = true;
        break;
      case kHelpOption:
        std::cout << kHelp;
        options.exitCode = kExitSuccess;
        return options;
      case kVersion:
        std::cout << "skylarkwing " << SKYLARKWING_VERSION << '\n';
        options.exitCode = kExitSuccess;
        return options;
      default:
        options.exitCode = kExitUsage;
        return options;
    }
  }
  if (optind == aCount) {
    std::cerr << "skylarkwing explain: a request ID is required; see --help\n";
    options.exitCode = kExitUsage;
    return options;
  }
  options.request = aArguments[optind++];
  while (optind < aCount) {
    options.files.emplace_back(aArguments[optind++]);
  }
  return options;
}

void
Append(std::vector<console::LogLine>& aLines, std::vector<console::LogLine> aMore)
{
  std::move(aMore.begin(), aMore.end(), std::back_inserter(aLines));
}

} // namespace

int
RunExplain(int aCount, char** aArguments)
{
  const ExplainOptions options = ParseOptions(aCount, aArguments);
  if (options.exitCode >= 0) {
    return options.exitCode;
  }
  std::vector<console::LogLine> lines;
  for (const std::string& path : options.files) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "skylarkwing explain: " << path << ": cannot be read\n";
      return kExitFailure;
    }
    Append(lines, console::ReadLogLines(file));
  }
  if (options.files.empty()) {
    Append(lines, console::ReadLogLines(std::cin));
  }
  const console::RequestTrace trace = console::BuildRequestTrace(options.request, std::move(lines));
  std::cout << (options.isJson ? console::TraceJson(trace) : console::TraceText(trace));
  return trace.lines.empty() ? kExitFailure : kExitSuccess;
}

} // namespace skylarkwing
