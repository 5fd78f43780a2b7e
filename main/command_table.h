#pragma once

#include <string_view>
#include <vector>

namespace skylarkwing {

/** One subcommand of the program. */
struct Command
{
  std::string_view name;
  std::string_view summary;
  /** Runs it with its own name as the first argument. @return the exit code. */
  int (*run)(int aCount, char** aArguments);
};

/** @return all subcommands, in the order of the help text. */
const std::vector<Command>&
Commands();

/** @return the subcommand of that name, or null. */
const Command*
FindCommand(std::string_view aName);

} // namespace skylarkwing
