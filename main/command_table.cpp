#include "main/command_table.h"

#include "console/operator_commands.h"
#include "main/explain_command.h"
#include "main/platform_command.h"
#include "main/serve_command.h"

#ifndef SKYLARKWING_SERVICE_ONLY
#include "bench/bench_command.h"
#include "bench/demo_command.h"
#endif

namespace skylarkwing {

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> commands{
    { "serve", "run the daemon of one entry VM", RunServe },
    { "platform", "run the daemon of one entry VM on the division's platform", RunPlatform },
    { "explain", "reconstruct from logs what happened to a request", RunExplain },
    { "check", "validate a declaration and list all faults", console::RunCheck },
    { "diff", "compare a declaration with the one in force", console::RunDiff },
    { "apply", "put a declaration in force", console::RunApply },
    { "status", "show the state of the deployment", console::RunStatus },
    { "domain", "take a failure domain out of service, or back in", console::RunDomain },
    { "history", "show who changed what, when and why", console::RunHistory },
    { "report", "report on the error budget burn", console::RunReport },
#ifndef SKYLARKWING_SERVICE_ONLY
    { "demo", "run daemons, stand-ins and callers in one process", bench::RunDemo },
    { "bench", "run scenarios under two policies and compare them", bench::RunBench },
#endif
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
