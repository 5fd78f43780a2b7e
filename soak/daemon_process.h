#pragma once

#include <sys/types.h>

#include <string>

namespace skylarkwing::soak {

/** One daemon as a process of its own. It is ended only by the id under which it was started. */
class DaemonProcess
{
public:
  /**
   * @param aProgram path of the program.
   * @param aSettingsFile its settings.
   * @param aLogFile receives its output; a restart appends to it.
   */
  DaemonProcess(std::string aProgram, std::string aSettingsFile, std::string aLogFile);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  ~DaemonProcess();

  /** Starts the process; throws std::runtime_error when that fails. */
  void Start();

  /** @return whether it runs; takes in its end. */
  bool IsRunning();

  /** Sends a signal to the process if it runs. */
  void Signal(int aSignal);

  /**
   * @return what was wrong with its last end; empty when it was killed here, or asked here to stop
   *         and said that all went well.
   */
  std::string FaultOfLastEnd() const;

private:
  std::string mProgram;
  std::string mSettingsFile;
  std::string mLogFile;
  pid_t mId = -1;
  /** The exit status as waitpid() gives it, of the last end. */
  int mLastStatus = 0;
  bool mWasKilled = false;
  bool mWasAskedToStop = false;
};

} // namespace skylarkwing::soak
