#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace skylarkwing::core {

/** How much a log line matters. */
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/** How log lines are written. */
enum class LogFormat
{
  Plain,
  Json,
};

/** Where log lines go. */
enum class LogTarget
{
  /** Standard error. */
  Error,
  /** Standard output, without ever waiting for its reader: lines that don't fit are dropped. */
  Output,
};

/** One named value of a log line. */
struct LogField
{
  std::string_view name;
  std::string value;
};

/** @return the name of a level, as settings and log lines spell it. */
std::string_view
NameOf(LogLevel aLevel);

/** Sets up the process's log; to be called once, before any line. */
void
InitializeLog(LogLevel aLeast, LogFormat aFormat, LogTarget aTarget = LogTarget::Error);

/** Names the VM in every further line, for logs of several daemons in one place. */
void
SetLogSource(std::string aVm);

/**
 * Writes one line about a change of state. Steady conditions are counted in metrics instead.
 *
 * Thread-safe.
 *
 * @param aLevel how much it matters.
 * @param aSlice the slice that reports, such as "upstream".
 * @param aEvent what changed, in snake_case, such as "replica_state_changed".
 * @param aFields what it changed about, from and to.
 */
void
LogChange(LogLevel aLevel,
          std::string_view aSlice,
          std::string_view aEvent,
          std::initializer_list<LogField> aFields);

} // namespace skylarkwing::core
