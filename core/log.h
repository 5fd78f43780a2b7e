#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace skylarkwing::core {

/** Severity of a log line. */
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/** Format of log lines. */
enum class LogFormat
{
  Plain,
  Json,
};

/** Destination of log lines. */
enum class LogTarget
{
  /** Standard error. */
  Error,
  /** Standard output, non-blocking: lines that do not fit into its buffer are dropped. */
  Output,
};

/** A named value in a log line. */
struct LogField
{
  std::string_view name;
  std::string value;
};

/** @return the name of a level, as in settings and log lines. */
std::string_view
NameOf(LogLevel aLevel);

/** Initializes logging for the process; call once, before the first line. */
void
InitializeLog(LogLevel aMinLevel, LogFormat aFormat, LogTarget aTarget = LogTarget::Error);

/** Adds the VM's name to all further JSON lines, for logs that several daemons write to. */
void
SetLogVm(std::string aVm);

/**
 * Logs an event, usually a state change. Recurring conditions belong in metrics instead.
 *
 * Thread-safe.
 *
 * @param aLevel severity.
 * @param aComponent the component that logs, such as "upstream".
 * @param aEvent name of the event in snake_case, such as "replica_state_changed".
 * @param aFields details, such as the object that changed and its old and new state.
 */
void
LogEvent(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields);

} // namespace skylarkwing::core
