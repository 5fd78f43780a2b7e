#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** Options of the operator commands. */
enum class OperatorOption
{
  Json,
  Server,
  TokenFile,
  Author,
  Reason,
  Force,
  ExpectGeneration,
  Wait,
  Html,
};

/** Parsed options and arguments of a command. */
struct OperatorOptions
{
  bool help = false;
  bool json = false;
  bool force = false;
  /** "IP:port" of the operator interface of any daemon. */
  std::string server;
  std::string tokenFile;
  /** For the change history; defaults to the login name. */
  std::string author;
  std::string reason;
  /** Output file for the report as an HTML page. */
  std::string htmlFile;
  std::optional<std::uint64_t> expectGeneration;
  /** How long to wait until a change is in force on every VM. */
  std::chrono::seconds wait{ 10 };
  /** Positional arguments. */
  std::vector<std::string> arguments;
};

/** Parsed options, or the error in the command line. */
struct ParsedOptions
{
  std::optional<OperatorOptions> options;
  std::string fault;
};

/** Syntax of one command. */
struct CommandUsage
{
  /** Synopsis, such as "apply FILE". */
  std::string form;
  std::string summary;
  std::vector<OperatorOption> options;
  /** Required number of positional arguments. */
  std::size_t argumentCount = 0;
};

/** Parses a command line; its first argument is the name of the command. */
ParsedOptions
ParseOptions(int aCount, char** aArguments, const CommandUsage& aUsage);

/** @return the help text of a command. */
std::string
HelpOf(const CommandUsage& aUsage);

} // namespace skylarkwing::console
