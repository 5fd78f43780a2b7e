#pragma once

#include <string_view>
#include <vector>

namespace skylarkwing {

/** A subcommand of the program. */
struct Command
{
  std::string_view name;
  std::string_view summary;
  /** Entry point; the first argument is the name of the subcommand. @return the exit code. */
  int (*run)(int aCount, char** aArguments);
};

/** @return all subcommands, in the order of the help text. */
const std::vector<Command>&
Commands();

/** @return the subcommand with this name, or null. */
const Command*
FindCommand(std::string_view aName);

} // namespace skylarkwing
