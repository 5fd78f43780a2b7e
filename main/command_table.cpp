#include "main/command_table.h"

#include "bench/bench_command.h"
#include "bench/demo_command.h"
#include "main/serve_command.h"

namespace skylarkwing {

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> commands{
    { "serve", "run the daemon of one entry VM", RunServe },
    { "demo", "run daemons, stand-ins and callers in one process", bench::RunDemo },
    { "bench", "run scenarios under two policies and compare them", bench::RunBench },
  };
  return commands;
}

const Command*
FindCommand(std::string_view aName)
{
  for (const Command& command : Commands()) {
    if (command.name == aName) {
      return &command;
    }
  }
  return nullptr;
}

} // namespace skylarkwing
