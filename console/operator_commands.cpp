#include "console/operator_commands.h"

#include "console/burn_report_page.h"
#include "console/burn_report_text.h"
#include "console/change_json.h"
#include "console/operator_client.h"
#include "console/operator_options.h"
#include "console/status_text.h"
#include "core/exit_code.h"
#include "declaration/declaration_diff.h"
#include "declaration/declaration_parser.h"
#include "declaration/harm_check.h"
#include "net/request_target.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <thread>

namespace skylarkwing::console {

namespace {

using nlohmann::json;

using core::kExitFailure;
using core::kExitSuccess;
using core::kExitUnknown;
using core::kExitUsage;

constexpr std::chrono::milliseconds kStatusPollInterval{ 250 };

using CommandBody = std::function<int(const OperatorOptions&)>;

int
Run(int aCount, char** aArguments, const CommandUsage& aUsage, const CommandBody& aBody)
{
  const ParsedOptions parsed = ParseOptions(aCount, aArguments, aUsage);
  if (!parsed.options) {
    std::cerr << "skylarkwing " << aArguments[0] << ": " << parsed.fault << "; see --help\n";
    return kExitUsage;
  }
  if (parsed.options->help) {
    std::cout << HelpOf(aUsage);
    return kExitSuccess;
  }
  return aBody(*parsed.options);
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    std::cerr << "cannot read " << aPath << '\n';
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

std::optional<std::string>
ReadToken(const OperatorOptions& aOptions)
{
  std::optional<std::string> token = ReadFile(aOptions.tokenFile);
  if (token) {
    token->erase(token->find_last_not_of(" \t\r\n") + 1);
  }
  return token;
}

/** Calls a function with a client for the server and token of the options. */
int
WithClient(const OperatorOptions& aOptions, const std::function<int(OperatorClient&)>& aBody)
{
  const std::optional<std::string> token = ReadToken(aOptions);
  if (!token) {
    return kExitUsage;
  }
  OperatorClient client(aOptions.server, *token);
  return aBody(client);
}

int
ReportFailure(const OperatorReply& aReply, bool aMayHaveEffect)
{
  const bool isUnknown = aMayHaveEffect && aReply.error == OperatorClientError::Unknown;
  std::cerr << (isUnknown ? "outcome unknown: " : "failed: ") << aReply.reason << '\n';
  if (isUnknown) {
    std::cerr << "look at `skylarkwing history` before you try again\n";
  }
  return isUnknown ? kExitUnknown : kExitFailure;
}

void
PrintJson(const json& aJson)
{
  std::cout << aJson.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

/** Reads a declaration from a file and prints its faults. */
std::optional<declaration::Declaration>
ReadDeclarationFile(const std::string& aPath, bool aWantsJson)
{
  const std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    return std::nullopt;
  }
  declaration::ParseResult result = declaration::ParseDeclaration(*text);
  if (result.declaration && result.faults.empty()) {
    return std::move(result.declaration);
  }
  if (aWantsJson) {
    ChangeOutcome outcome;
    outcome.verdict = ChangeVerdict::Refused;
    outcome.faults = std::move(result.faults);
    PrintJson(ToJson(outcome));
    return std::nullopt;
  }
  for (const declaration::Fault& fault : result.faults) {
    std::cerr << aPath << ": " << core::ToText(fault) << '\n';
  }
  return std::nullopt;
}

std::optional<ClusterStatus>
FetchStatus(OperatorClient& aClient)
{
  const OperatorReply reply = aClient.Get("/v1/status");
  if (reply.error != OperatorClientError::None) {
    return std::nullopt;
  }
  return ClusterStatusFromJson(reply.body);
}

/** Waits until a generation is in force on every VM, and prints the progress. */
bool
WaitUntilInForce(OperatorClient& aClient,
                 std::uint64_t aGeneration,
                 const OperatorOptions& aOptions)
{
  const auto polls = aOptions.wait / kStatusPollInterval;
  std::string shown;
  for (std::int64_t n = 0; n <= polls; ++n) {
    const std::optional<ClusterStatus> status = FetchStatus(aClient);
    const bool isReached = status && status->generation >= aGeneration;
    if (isReached && DescribeForce(*status) != shown) {
      shown = DescribeForce(*status);
      std::cerr << shown << '\n';
    }
    if (isReached && status->inForce >= status->members) {
      return true;
    }
    if (n < polls) {
      std::this_thread::sleep_for(kStatusPollInterval);
    }
  }
  std::cerr << "the change is accepted; the missing VMs will apply it once they are reachable\n";
  return false;
}

int
ExitCodeOf(ChangeVerdict aVerdict)
{
  switch (aVerdict) {
    case ChangeVerdict::Accepted:
      return kExitSuccess;
    case ChangeVerdict::Conflict:
    case ChangeVerdict::Refused:
      return kExitFailure;
    case ChangeVerdict::Unknown:
      break;
  }
  return kExitUnknown;
}

/** Submits a change and prints its outcome. */
int
SubmitChange(OperatorClient& aClient,
             const std::string& aTarget,
             json aBody,
             const OperatorOptions& aOptions)
{
  aBody["author"] = aOptions.author;
  aBody["reason"] = aOptions.reason;
  aBody["force"] = aOptions.force;
  if (aOptions.expectGeneration) {
    aBody["expectedGeneration"] = *aOptions.expectGeneration;
  }
  const OperatorReply reply = aClient.Post(aTarget, aBody);
  if (reply.error != OperatorClientError::None) {
    return ReportFailure(reply, true);
  }
  const std::optional<ChangeOutcome> outcome = ChangeOutcomeFromJson(reply.body);
  if (!outcome) {
    std::cerr << "outcome unknown: the answer could not be parsed\n";
    return kExitUnknown;
  }
  if (aOptions.json) {
    PrintJson(reply.body);
  } else {
    (outcome->verdict == ChangeVerdict::Accepted ? std::cout : std::cerr) << ToText(*outcome);
  }
  if (outcome->verdict == ChangeVerdict::Accepted) {
    WaitUntilInForce(aClient, outcome->generation, aOptions);
  }
  return ExitCodeOf(outcome->verdict);
}

/** Fetches a resource and prints it as JSON or text. */
int
FetchAndPrint(const OperatorOptions& aOptions,
              const std::string& aTarget,
              const std::function<std::optional<std::string>(const json&)>& aToText)
{
  return WithClient(aOptions, [&](OperatorClient& aClient) {
    const OperatorReply reply = aClient.Get(aTarget);
    if (reply.error != OperatorClientError::None) {
      return ReportFailure(reply, false);
    }
    if (aOptions.json) {
      PrintJson(reply.body);
      return kExitSuccess;
    }
    const std::optional<std::string> text = aToText(reply.body);
    if (!text) {
      std::cerr << "failed: the answer could not be parsed\n";
      return kExitFailure;
    }
    std::cout << *text;
    return kExitSuccess;
  });
}

std::optional<std::string>
HistoryText(const json& aBody)
{
  const auto records = RecordsFromJson(aBody.value("history", json()));
  if (!records) {
    return std::nullopt;
  }
  std::string text;
  for (const declaration::ChangeRecord& record : *records) {
    text += ToText(record);
  }
  return text.empty() ? "no change is recorded\n" : text;
}

int
PrintDifference(const declaration::Declaration& aFrom,
                const declaration::Declaration& aTo,
                std::uint64_t aGeneration,
                bool aWantsJson)
{
  const std::vector<declaration::Change> changes = declaration::DescribeChanges(aFrom, aTo);
  const std::vector<std::string> harms = declaration::FindHarms(aFrom, aTo);
  if (aWantsJson) {
    json lines = json::array();
    for (const declaration::Change& change : changes) {
      lines.push_back({ { "what", change.what }, { "traffic", change.traffic } });
    }
    PrintJson({ { "generation", aGeneration }, { "changes", lines }, { "harms", harms } });
    return kExitSuccess;
  }
  std::cout << "against generation " << aGeneration << (changes.empty() ? ": no change\n" : ":\n");
  for (const std::string& line : declaration::ToLines(changes)) {
    std::cout << "  " << line << '\n';
  }
  for (const std::string& harm : harms) {
    std::cout << "  harm: " << harm << '\n';
  }
  return kExitSuccess;
}

int
Diff(const OperatorOptions& aOptions)
{
  const auto wanted = ReadDeclarationFile(aOptions.arguments[0], aOptions.json);
  if (!wanted) {
    return kExitFailure;
  }
  return WithClient(aOptions, [&](OperatorClient& aClient) {
    const OperatorReply reply = aClient.Get("/v1/configuration");
    if (reply.status == 404) {
      return PrintDifference({}, *wanted, 0, aOptions.json);
    }
    if (reply.error != OperatorClientError::None) {
      return ReportFailure(reply, false);
    }
    const auto present = declaration::ReadDeclaration(reply.body.value("declaration", json()));
    if (!present.declaration) {
      std::cerr << "failed: the declaration in force could not be parsed\n";
      return kExitFailure;
    }
    const std::uint64_t generation = reply.body.value("generation", std::uint64_t{ 0 });
    return PrintDifference(*present.declaration, *wanted, generation, aOptions.json);
  });
}

int
Apply(const OperatorOptions& aOptions)
{
  const std::string& path = aOptions.arguments[0];
  const auto wanted = ReadDeclarationFile(path, aOptions.json);
  if (!wanted) {
    return kExitFailure;
  }
  return WithClient(aOptions, [&](OperatorClient& aClient) {
    return SubmitChange(
      aClient, "/v1/configuration", { { "declaration", declaration::ToJson(*wanted) } }, aOptions);
  });
}

int
Domain(const OperatorOptions& aOptions)
{
  const std::string& direction = aOptions.arguments[0];
  if (direction != "out" && direction != "in") {
    std::cerr << "skylarkwing domain: say out or in; see --help\n";
    return kExitUsage;
  }
  return WithClient(aOptions, [&](OperatorClient& aClient) {
    const std::string target = "/v1/domains/" + net::PercentEncode(aOptions.arguments[1]);
    return SubmitChange(aClient, target, { { "out", direction == "out" } }, aOptions);
  });
}

int
Report(const OperatorOptions& aOptions)
{
  if (aOptions.arguments[0] != "burn") {
    std::cerr << "skylarkwing report: the only report is burn; see --help\n";
    return kExitUsage;
  }
  return FetchAndPrint(aOptions, "/v1/burn", [&](const json& aBody) -> std::optional<std::string> {
    const std::optional<BurnReport> report = BurnReportFromJson(aBody);
    if (!report) {
      return std::nullopt;
    }
    if (aOptions.htmlFile.empty()) {
      return ToText(*report);
    }
    std::ofstream file(aOptions.htmlFile, std::ios::binary);
    file << ToHtml(*report);
    return file.flush() ? std::optional<std::string>("written to " + aOptions.htmlFile + "\n")
                        : std::nullopt;
  });
}

} // namespace

int
RunCheck(int aCount, char** aArguments)
{
  const CommandUsage usage{
    "check FILE", "Reads a declaration and lists all of its faults.", { OperatorOption::Json }, 1
  };
  return Run(aCount, aArguments, usage, [](const OperatorOptions& aOptions) {
    if (!ReadDeclarationFile(aOptions.arguments[0], aOptions.json)) {
      return kExitFailure;
    }
    if (aOptions.json) {
      PrintJson({ { "faults", json::array() } });
    } else {
      std::cout << aOptions.arguments[0] << ": no fault\n";
    }
    return kExitSuccess;
  });
}

int
RunDiff(int aCount, char** aArguments)
{
  const CommandUsage usage{
    "diff FILE",
    "Shows what a declaration would change against the one in force.",
    { OperatorOption::Json, OperatorOption::Server, OperatorOption::TokenFile },
    1
  };
  return Run(aCount, aArguments, usage, Diff);
}

int
RunApply(int aCount, char** aArguments)
{
  const CommandUsage usage{ "apply FILE",
                            "Applies a declaration and shows where it is in force.",
                            { OperatorOption::Json,
                              OperatorOption::Server,
                              OperatorOption::TokenFile,
                              OperatorOption::Author,
                              OperatorOption::Reason,
                              OperatorOption::Force,
                              OperatorOption::ExpectGeneration,
                              OperatorOption::Wait },
                            1 };
  return Run(aCount, aArguments, usage, Apply);
}

int
RunStatus(int aCount, char** aArguments)
{
  const CommandUsage usage{
    "status",
    "Shows the status of the deployment as seen by one daemon.",
    { OperatorOption::Json, OperatorOption::Server, OperatorOption::TokenFile },
    0
  };
  return Run(aCount, aArguments, usage, [](const OperatorOptions& aOptions) {
    return FetchAndPrint(aOptions, "/v1/status", [](const json& aBody) {
      const std::optional<ClusterStatus> status = ClusterStatusFromJson(aBody);
      return status ? std::optional<std::string>(ToText(*status)) : std::nullopt;
    });
  });
}

int
RunDomain(int aCount, char** aArguments)
{
  const CommandUsage usage{ "domain out|in NAME",
                            "Takes a failure domain out or back.",
                            { OperatorOption::Json,
                              OperatorOption::Server,
                              OperatorOption::TokenFile,
                              OperatorOption::Author,
                              OperatorOption::Reason,
                              OperatorOption::Force,
                              OperatorOption::ExpectGeneration,
                              OperatorOption::Wait },
                            2 };
  return Run(aCount, aArguments, usage, Domain);
}

int
RunHistory(int aCount, char** aArguments)
{
  const CommandUsage usage{
    "history",
    "Lists who changed what, when and why, oldest first.",
    { OperatorOption::Json, OperatorOption::Server, OperatorOption::TokenFile },
    0
  };
  return Run(aCount, aArguments, usage, [](const OperatorOptions& aOptions) {
    return FetchAndPrint(aOptions, "/v1/history", HistoryText);
  });
}

int
RunReport(int aCount, char** aArguments)
{
  const CommandUsage usage{ "report burn",
                            "Reports on service-level burn, all daemons together.",
                            { OperatorOption::Json,
                              OperatorOption::Server,
                              OperatorOption::TokenFile,
                              OperatorOption::Html },
                            1 };
  return Run(aCount, aArguments, usage, Report);
}

} // namespace skylarkwing::console
