#include "main/serve_command.h"

#include "core/exit_code.h"
#include "core/log.h"
#include "core/task.h"
#include "daemon/daemon.h"
#include "main/event_loop.h"
#include "main/settings_options.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <utility>

namespace skylarkwing {

namespace {

namespace asio = boost::asio;
using core::kExitFailure;
using core::kExitSuccess;

constexpr const char* kHelp =
  "Usage: skylarkwing serve --settings FILE\n"
  "\n"
  "Runs the daemon of one entry VM until SIGTERM or SIGINT, then stops gracefully:\n"
  "it leaves the list of entry points, serves callers until they no longer use its\n"
  "address, finishes running work, and exits. A second signal has no effect.\n"
  "\n"
  "  --settings FILE   settings of this process, in JSON\n"
  "  --check           validate the settings and exit\n"
  "  --help            show this text\n"
  "  --version         show the version\n"
  "\n"
  "Exit codes: 0 stopped, 1 failed, 2 wrong usage or settings.\n";

/** Stops the daemon on the first signal; later signals are ignored during the shutdown. */
core::Task<void>
StopAtSignal(asio::io_context& aLoop, daemon::Daemon& aDaemon)
{
  asio::signal_set signals(aLoop, SIGTERM, SIGINT);
  co_await signals.async_wait(asio::use_awaitable);
  co_await aDaemon.Stop();
  aDaemon.Cleanup();
  aLoop.stop();
}

int
Serve(settings::Settings aSettings)
{
  core::InitializeLog(aSettings.logLevel, aSettings.logFormat);
  LimitAllocator();
  if (!aSettings.resources) {
    aSettings.resources = core::DetectResources();
  }
  asio::io_context loop(1);
  daemon::Daemon daemon(loop, std::move(aSettings));
  if (!daemon.Setup()) {
    std::cerr << "skylarkwing serve: " << daemon.LastError() << '\n';
    return kExitFailure;
  }
  core::Start(loop.get_executor(), StopAtSignal(loop, daemon));
  daemon.Start();
  RunEventLoop(loop, "daemon");
  daemon.Cleanup();
  return kExitSuccess;
}

} // namespace

int
RunServe(int aCount, char** aArguments)
{
  const SettingsOptions options = ParseSettingsOptions(aCount, aArguments, "serve", kHelp, "");
  if (options.exitCode >= 0) {
    return options.exitCode;
  }
  settings::LoadResult loaded = settings::LoadSettings(options.settingsFile);
  if (const auto exitCode = ReportSettings(options, loaded.faults)) {
    return *exitCode;
  }
  return Serve(std::move(*loaded.settings));
}

} // namespace skylarkwing
