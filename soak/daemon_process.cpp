#include "soak/daemon_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace skylarkwing::soak {

namespace {

constexpr mode_t kLogMode = 0644;

} // namespace

DaemonProcess::DaemonProcess(std::string aProgram,
                             std::string aSettingsFile,
                             std::string aLogFile,
                             std::string aCommand)
  : mProgram(std::move(aProgram))
  , mSettingsFile(std::move(aSettingsFile))
  , mLogFile(std::move(aLogFile))
  , mCommand(std::move(aCommand))
{
}

DaemonProcess::~DaemonProcess()
{
  if (IsRunning()) {
    Signal(SIGKILL);
    waitpid(mPid, &mLastStatus, 0);
  }
}

void
DaemonProcess::Start()
{
  mWasKilled = false;
  mWasAskedToStop = false;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string option = "--settings";
  const std::array<char*, 5> arguments{
    mProgram.data(), mCommand.data(), option.data(), mSettingsFile.data(), nullptr
  };
  const int error =
    posix_spawn(&mPid, mProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    mPid = -1;
    throw std::runtime_error("cannot start " + mProgram);
  }
}

bool
DaemonProcess::IsRunning()
{
  if (mPid > 0 && waitpid(mPid, &mLastStatus, WNOHANG) == mPid) {
    mPid = -1;
  }
  return mPid > 0;
}

std::size_t
DaemonProcess::ReadStatus(const std::string& aName) const
{
  std::ifstream file("/proc/" + std::to_string(mPid) + "/status");
  std::string word;
  std::size_t value = 0;
  while (file >> word) {
    if (word == aName + ":") {
      file >> value;
      break;
    }
  }
  return value;
}

void
DaemonProcess::Signal(int aSignal)
{
  if (!IsRunning()) {
    return;
  }
  mWasKilled = mWasKilled || aSignal == SIGKILL;
  mWasAskedToStop = mWasAskedToStop || aSignal == SIGTERM;
  kill(mPid, aSignal);
}

std::string
DaemonProcess::DescribeUnexpectedExit() const
{
  if (WIFSIGNALED(mLastStatus)) {
    const int signal = WTERMSIG(mLastStatus);
    return signal == SIGKILL && mWasKilled ? "" : "ended by signal " + std::to_string(signal);
  }
  const int status = WEXITSTATUS(mLastStatus);
  if (status != 0) {
    return "ended with exit status " + std::to_string(status);
  }
  return mWasAskedToStop ? "" : "ended by itself";
}

} // namespace skylarkwing::soak
