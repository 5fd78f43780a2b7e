#include "core/exit_code.h"
#include "main/command_table.h"

#include <iomanip>
#include <iostream>
#include <string_view>

namespace skylarkwing {

namespace {

using core::kExitSuccess;
using core::kExitUsage;

void
PrintHelp(std::ostream& aOut)
{
  constexpr int kNameWidth = 10;
  aOut << "Usage: skylarkwing COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command& command : Commands()) {
    aOut << "  " << std::left << std::setw(kNameWidth) << command.name << ' ' << command.summary
         << '\n';
  }
  aOut << "\n`skylarkwing COMMAND --help` shows the options of a command.\n"
          "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.\n";
}

int
Run(int aCount, char** aArguments)
{
  if (aCount < 2) {
    PrintHelp(std::cerr);
    return kExitUsage;
  }
  const std::string_view name = aArguments[1];
  if (name == "--help" || name == "help") {
    PrintHelp(std::cout);
    return kExitSuccess;
  }
  const bool isVersionOfCommand = aCount == 3 && std::string_view(aArguments[2]) == "--version";
  if (name == "--version" || (isVersionOfCommand && FindCommand(name))) {
    std::cout << "skylarkwing " << SKYLARKWING_VERSION << '\n';
    return kExitSuccess;
  }
  const Command* command = FindCommand(name);
  if (!command) {
    std::cerr << "skylarkwing: unknown command \"" << name << "\"; see skylarkwing --help\n";
    return kExitUsage;
  }
  return command->run(aCount - 1, aArguments + 1);
}

} // namespace

} // namespace skylarkwing

int
main(int aCount, char** aArguments)
{
  return skylarkwing::Run(aCount, aArguments);
}
