#include "core/log.h"

#include "core/name_table.h"

#include <nlohmann/json.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace skylarkwing::core {

namespace {

constexpr NameTable<LogLevel, 4> kLevelNames{ { "debug", "info", "warning", "error" } };

std::atomic<LogFormat> sFormat{ LogFormat::Plain };

/** Set once at startup, before other threads log. */
std::string&
LogVm()
{
  static std::string vm;
  return vm;
}

boost::log::trivial::severity_level
ToSeverity(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return boost::log::trivial::debug;
    case LogLevel::Info:
      return boost::log::trivial::info;
    case LogLevel::Warning:
      return boost::log::trivial::warning;
    case LogLevel::Error:
      break;
  }
  return boost::log::trivial::error;
}

/**
 * Writes lines to standard output without blocking, so that a reader that has stopped reading
 * cannot block the service. Lines that do not fit are dropped and counted; the count is written
 * after the next line.
 */
class NonBlockingStdoutBackend
  : public boost::log::sinks::basic_formatted_sink_backend<char,
                                                           boost::log::sinks::concurrent_feeding>
{
public:
  NonBlockingStdoutBackend()
  {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags != -1) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }

  // NOLINTNEXTLINE(readability-identifier-naming): Boost.Log calls it by this name.
  void consume([[maybe_unused]] const boost::log::record_view& aRecord, const std::string& aLine)
  {
    std::string line = mRemainder + aLine + '\n';
    const ssize_t n = write(STDOUT_FILENO, line.data(), line.size());
    if (n < 0) {
      mDropped += 1;
      return;
    }
    // After a partial write, the remainder is written before the next line.
    mRemainder = line.substr(static_cast<std::size_t>(n));
    if (mDropped > 0 && mRemainder.empty()) {
      mRemainder =
        R"({"event":"output_lines_dropped","count":")" + std::to_string(mDropped) + "\"}\n";
      mDropped = 0;
    }
  }

private:
  std::string mRemainder;
  std::uint64_t mDropped = 0;
};

std::string
Timestamp()
{
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto sinceEpoch =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
      << sinceEpoch.count() % 1000 << 'Z';
  return out.str();
}

std::string
FormatJson(LogLevel aLevel,
           std::string_view aComponent,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields)
{
  nlohmann::ordered_json line;
  line["time"] = Timestamp();
  line["level"] = NameOf(aLevel);
  if (!LogVm().empty()) {
    line["vm"] = LogVm();
  }
  line["slice"] = aComponent;
  line["event"] = aEvent;
  for (const LogField& field : aFields) {
    line[std::string(field.name)] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
FormatPlain(LogLevel aLevel,
            std::string_view aComponent,
            std::string_view aEvent,
            std::initializer_list<LogField> aFields)
{
  std::ostringstream out;
  out << Timestamp() << ' ' << NameOf(aLevel) << ' ' << aComponent << ' ' << aEvent;
  for (const LogField& field : aFields) {
    // Escapes line breaks as well, so that no text of another writer looks like a line of its own.
    const nlohmann::json value(field.value);
    out << ' ' << field.name << '='
        << value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return out.str();
}

} // namespace

std::string_view
NameOf(LogLevel aLevel)
{
  return kLevelNames.NameOf(aLevel);
}

void
InitializeLog(LogLevel aMinLevel, LogFormat aFormat, LogTarget aTarget)
{
  sFormat = aFormat;
  if (aTarget == LogTarget::Output) {
    using Sink = boost::log::sinks::unlocked_sink<NonBlockingStdoutBackend>;
    const auto sink = boost::make_shared<Sink>();
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
  } else {
    boost::log::add_console_log(std::clog, boost::log::keywords::format = "%Message%");
  }
  boost::log::core::get()->set_filter(boost::log::trivial::severity >= ToSeverity(aMinLevel));
}

void
SetLogVm(std::string aVm)
{
  LogVm() = std::move(aVm);
}

void
LogEvent(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  thread_local boost::log::sources::severity_logger<boost::log::trivial::severity_level> logger;
  const bool isJson = sFormat == LogFormat::Json;
  const std::string line = isJson ? FormatJson(aLevel, aComponent, aEvent, aFields)
                                  : FormatPlain(aLevel, aComponent, aEvent, aFields);
  BOOST_LOG_SEV(logger, ToSeverity(aLevel)) << line;
}

} // namespace skylarkwing::core
