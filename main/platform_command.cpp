#include "main/platform_command.h"

#include "core/exit_code.h"
#include "core/log.h"
#include "core/task.h"
#include "main/event_loop.h"
#include "main/settings_options.h"
#include "platform/boot_settings.h"
#include "platform/platform_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

namespace skylarkwing {

namespace {

namespace asio = boost::asio;
using core::kExitFailure;
using core::kExitSuccess;

/** Environment variable with the path of the settings file. */
constexpr const char* kSettingsVariable = "SKYLARKWING_NODE_FILE";

constexpr const char* kHelp =
  "Usage: skylarkwing platform [--settings FILE]\n"
  "\n"
  "Runs the daemon of one entry VM on the division's platform until SIGTERM or SIGINT, then\n"
  "stops gracefully. SIGHUP reloads the settings.\n"
  "\n"
  "  --settings FILE   settings of this process in JSON, see platform/settings.json.template;\n"
  "                    default: the file named by SKYLARKWING_NODE_FILE\n"
  "  --check           validate the settings and exit\n"
  "  --help            show this text\n"
  "  --version         show the version\n"
  "\n"
  "Exit codes: 0 stopped, 1 failed, 2 wrong usage or settings.\n";

/** Reloads the settings on each SIGHUP; invalid settings are ignored. */
core::Task<void>
ReloadAtSignal(asio::io_context& aLoop, platform::PlatformDaemon& aDaemon, std::string aPath)
{
  asio::signal_set signals(aLoop, SIGHUP);
  while (true) {
    co_await signals.async_wait(asio::use_awaitable);
    const platform::BootSettingsResult read = platform::LoadBootSettings(aPath);
    if (read.settings) {
      aDaemon.Reload(*read.settings);
      continue;
    }
    for (const std::string& fault : read.faults) {
      core::LogEvent(core::LogLevel::Error, "platform", "settings_refused", { { "fault", fault } });
    }
  }
}

/** Stops the daemon on the first signal; later signals are ignored during the shutdown. */
core::Task<void>
StopAtSignal(asio::io_context& aLoop, platform::PlatformDaemon& aDaemon)
{
  asio::signal_set signals(aLoop, SIGTERM, SIGINT);
  co_await signals.async_wait(asio::use_awaitable);
  co_await aDaemon.Stop();
  aLoop.stop();
}

int
Serve(platform::BootSettings aSettings, const std::string& aPath)
{
  core::InitializeLog(core::LogLevel::Info, core::LogFormat::Json, core::LogTarget::Output);
  core::SetLogVm(aSettings.vm);
  LimitAllocator();
  if (!aSettings.resources) {
    aSettings.resources = core::DetectResources();
  }
  asio::io_context loop(1);
  platform::PlatformDaemon daemon(loop, aSettings);
  if (!daemon.Setup()) {
    std::cerr << "skylarkwing platform: " << daemon.LastError() << '\n';
    return kExitFailure;
  }
  core::Start(loop.get_executor(), StopAtSignal(loop, daemon));
  core::Start(loop.get_executor(), ReloadAtSignal(loop, daemon, aPath));
  daemon.Start();
  RunEventLoop(loop, "platform");
  // Pending tasks refer to the daemon, so the process exits without destroying it.
  std::cout.flush();
  std::_Exit(kExitSuccess);
}

} // namespace

int
RunPlatform(int aCount, char** aArguments)
{
  const char* variable = std::getenv(kSettingsVariable);
  const SettingsOptions options = ParseSettingsOptions(
    aCount, aArguments, "platform", kHelp, variable != nullptr ? variable : "");
  if (options.exitCode >= 0) {
    return options.exitCode;
  }
  platform::BootSettingsResult loaded = platform::LoadBootSettings(options.settingsFile);
  if (const auto exitCode = ReportSettings(options, loaded.faults)) {
    return *exitCode;
  }
  return Serve(std::move(*loaded.settings), options.settingsFile);
}

} // namespace skylarkwing
