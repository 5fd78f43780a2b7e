#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace skylarkwing::soak {

/** A daemon in a child process. Signals go only to the process id of that child. */
class DaemonProcess
{
public:
  /**
   * @param aProgram path of the executable.
   * @param aSettingsFile path of its settings file.
   * @param aLogFile path of the file for its output; a restart appends to it.
   * @param aCommand command of the executable that runs a daemon.
   */
  DaemonProcess(std::string aProgram,
                std::string aSettingsFile,
                std::string aLogFile,
                std::string aCommand = "platform");
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  ~DaemonProcess();

  /** Starts the process. @throws std::runtime_error if it cannot be started. */
  void Start();

  /** @return whether the process runs; reaps it if it has exited. */
  bool IsRunning();

  /** @return the process id while it runs, otherwise -1. */
  pid_t Pid() const { return mPid; }

  /** @return a value in kilobytes from the status that the kernel shows of the process. */
  std::size_t ReadStatus(const std::string& aName) const;

  /** Sends a signal to the process if it runs. */
  void Signal(int aSignal);

  /**
   * @return a description of its last exit if that was unexpected; empty after a SIGKILL from here,
   *         or exit status 0 after a SIGTERM from here.
   */
  std::string DescribeUnexpectedExit() const;

private:
  std::string mProgram;
  std::string mSettingsFile;
  std::string mLogFile;
  std::string mCommand;
  pid_t mPid = -1;
  /** Status of the last exit, in the encoding of waitpid(). */
  int mLastStatus = 0;
  bool mWasKilled = false;
  bool mWasAskedToStop = false;
};

} // namespace skylarkwing::soak
