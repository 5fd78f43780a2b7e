#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** The options that the operators' commands know. */
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

/** What an operator wrote behind a command. */
struct OperatorOptions
{
  bool help = false;
  bool json = false;
  bool force = false;
  /** "IP:port" of the operators' address of any daemon. */
  std::string server;
  std::string tokenFile;
  /** For the change history; the login name unless it is given. */
  std::string author;
  std::string reason;
  /** A file for the report as a page. */
  std::string htmlFile;
  std::optional<std::uint64_t> expectGeneration;
  /** How long to wait until a change is in force everywhere. */
  std::chrono::seconds wait{ 10 };
  /** What stands beside the options. */
  std::vector<std::string> arguments;
};

/** Options, or what is wrong with them. */
struct OptionsReading
{
  std::optional<OperatorOptions> options;
  std::string fault;
};

/** What one command takes. */
struct CommandUsage
{
  /** Such as "apply FILE". */
  std::string form;
  std::string summary;
  std::vector<OperatorOption> options;
  /** How many arguments must stand beside the options. */
  std::size_t argumentCount = 0;
};

/** Reads a command line; its first argument is the command's own name. */
OptionsReading
ReadOptions(int aCount, char** aArguments, const CommandUsage& aUsage);

/** @return the help text of a command. */
std::string
HelpOf(const CommandUsage& aUsage);

} // namespace skylarkwing::console
