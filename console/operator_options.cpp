#include "console/operator_options.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <string_view>

#include <getopt.h>

namespace skylarkwing::console {

namespace {

/** Values of getopt_long() for long options; above every character code. */
constexpr int kFirstOptionValue = 256;
constexpr int kHelpValue = 255;
constexpr std::uint64_t kMaxWaitSeconds = 600;

struct OptionText
{
  OperatorOption option;
  const char* name;
  /** The name of the value, or null when it takes none. */
  const char* value;
  const char* help;
};

constexpr std::array kOptionTexts{
  OptionText{ OperatorOption::Json, "json", nullptr, "write JSON" },
  OptionText{ OperatorOption::Server, "server", "IP:PORT", "operators' address of any daemon" },
  OptionText{ OperatorOption::TokenFile, "token-file", "FILE", "file that holds the token" },
  OptionText{ OperatorOption::Author, "author", "NAME", "who changes (default: the login name)" },
  OptionText{ OperatorOption::Reason, "reason", "TEXT", "why, for the change history" },
  OptionText{ OperatorOption::Force, "force", nullptr, "change in spite of the harm it does" },
  OptionText{ OperatorOption::ExpectGeneration,
              "expect-generation",
              "N",
              "change only on top of generation N" },
  OptionText{ OperatorOption::Wait,
              "wait",
              "SECONDS",
              "wait until it is in force everywhere (default: 10)" },
  OptionText{ OperatorOption::Html, "html", "FILE", "write the report as a page with plots" },
};

int
GetoptValueOf(OperatorOption aOption)
{
  return kFirstOptionValue + static_cast<int>(aOption);
}

bool
AcceptsOption(const CommandUsage& aUsage, OperatorOption aOption)
{
  return std::find(aUsage.options.begin(), aUsage.options.end(), aOption) != aUsage.options.end();
}

std::vector<option>
GetoptTableOf(const CommandUsage& aUsage)
{
  std::vector<option> table{ { "help", no_argument, nullptr, kHelpValue } };
  for (const OptionText& text : kOptionTexts) {
    if (AcceptsOption(aUsage, text.option)) {
      const int hasValue = text.value == nullptr ? no_argument : required_argument;
      table.push_back({ text.name, hasValue, nullptr, GetoptValueOf(text.option) });
    }
  }
  table.push_back({ nullptr, 0, nullptr, 0 });
  return table;
}

std::optional<std::uint64_t>
ReadNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stopped, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc() || stopped != end) {
    return std::nullopt;
  }
  return value;
}

/** @return false when the value is not a whole number. */
bool
ApplyNumberOption(OperatorOptions& aOptions, OperatorOption aOption, const char* aValue)
{
  const std::optional<std::uint64_t> number = ReadNumber(aValue);
  if (!number) {
    return false;
  }
  if (aOption == OperatorOption::ExpectGeneration) {
    aOptions.expectGeneration = number;
    return true;
  }
  aOptions.wait = std::chrono::seconds{ std::min(*number, kMaxWaitSeconds) };
  return true;
}

bool
ApplyOption(OperatorOptions& aOptions, OperatorOption aOption, const char* aValue)
{
  switch (aOption) {
    case OperatorOption::Json:
      aOptions.json = true;
      return true;
    case OperatorOption::Force:
      aOptions.force = true;
      return true;
    case OperatorOption::Server:
      aOptions.server = aValue;
      return true;
    case OperatorOption::TokenFile:
      aOptions.tokenFile = aValue;
      return true;
    case OperatorOption::Author:
      aOptions.author = aValue;
      return true;
    case OperatorOption::Reason:
      aOptions.reason = aValue;
      return true;
    case OperatorOption::Html:
      aOptions.htmlFile = aValue;
      return true;
    case OperatorOption::ExpectGeneration:
    case OperatorOption::Wait:
      break;
  }
  return ApplyNumberOption(aOptions, aOption, aValue);
}

std::string
LoginName()
{
  for (const char* variable : { "USER", "LOGNAME" }) {
    const char* name = std::getenv(variable);
    if (name != nullptr && *name != '\0') {
      return name;
    }
  }
  return {};
}

ParsedOptions
Fail(std::string aFault)
{
  ParsedOptions parsed;
  parsed.fault = std::move(aFault);
  return parsed;
}

ParsedOptions
CheckOptions(OperatorOptions aOptions, const CommandUsage& aUsage)
{
  if (aOptions.help) {
    return { std::move(aOptions), {} };
  }
  if (aOptions.arguments.size() != aUsage.argumentCount) {
    return Fail("it takes the form: " + aUsage.form);
  }
  if (AcceptsOption(aUsage, OperatorOption::Server) && aOptions.server.empty()) {
    return Fail("--server is missing");
  }
  if (AcceptsOption(aUsage, OperatorOption::TokenFile) && aOptions.tokenFile.empty()) {
    return Fail("--token-file is missing");
  }
  if (AcceptsOption(aUsage, OperatorOption::Author) && aOptions.author.empty()) {
    return Fail("--author is missing, and there is no login name");
  }
  return { std::move(aOptions), {} };
}

} // namespace

ParsedOptions
ParseOptions(int aCount, char** aArguments, const CommandUsage& aUsage)
{
  const std::vector<option> table = GetoptTableOf(aUsage);
  OperatorOptions options;
  options.author = LoginName();
  // 0 resets getopt_long(), so that more than one command line can be parsed.
  optind = 0;
  opterr = 0;
  for (;;) {
    const int value = getopt_long(aCount, aArguments, ":", table.data(), nullptr);
    if (value == -1) {
      break;
    }
    if (value == kHelpValue) {
      options.help = true;
      continue;
    }
    if (value < kFirstOptionValue) {
      return Fail("option " + std::string(aArguments[optind - 1]) +
                  (value == ':' ? " needs a value" : " is not known here"));
    }
    if (!ApplyOption(options, static_cast<OperatorOption>(value - kFirstOptionValue), optarg)) {
      return Fail(std::string(optarg) + " is not a whole number");
    }
  }
  options.arguments.assign(aArguments + optind, aArguments + aCount);
  return CheckOptions(std::move(options), aUsage);
}

std::string
HelpOf(const CommandUsage& aUsage)
{
  constexpr std::size_t kNameWidth = 26;
  std::string text =
    "Usage: skylarkwing " + aUsage.form + " [OPTIONS]\n\n" + aUsage.summary + "\n\nOptions:\n";
  for (const OptionText& option : kOptionTexts) {
    if (!AcceptsOption(aUsage, option.option)) {
      continue;
    }
    std::string name = std::string("--") + option.name;
    if (option.value != nullptr) {
      name += std::string(" ") + option.value;
    }
    name.resize(std::max(kNameWidth, name.size() + 1), ' ');
    text += "  " + name + option.help + "\n";
  }
  return text + "\nExit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.\n";
}

} // namespace skylarkwing::console
