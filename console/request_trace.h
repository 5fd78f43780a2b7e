#pragma once

#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwing::console {

/** One line of a daemon's log. */
struct LogLine
{
  /** Timestamp as logged, in UTC with milliseconds; sorts the lines of one daemon. */
  std::string time;
  /** The VM whose daemon wrote it; empty when the line has none. */
  std::string vm;
  std::string event;
  /** All other fields, in the order of the line. */
  std::vector<std::pair<std::string, std::string>> fields;

  /** @return the value of a field, or an empty string. */
  std::string Field(const std::string& aName) const;
};

/** Log lines and context of one request. */
struct RequestTrace
{
  std::string request;
  /** Lines that name the request, by time. */
  std::vector<LogLine> lines;
  /** Earlier events on the daemons that handled it which may have affected it, by time. */
  std::vector<LogLine> context;
  /** Gaps in the logs, as sentences. */
  std::vector<std::string> unknown;
};

/**
 * Parses the JSON log lines of one stream. Text before the first brace of a line, such as the
 * timestamp of a log collector, is skipped, and so are lines of other programs.
 */
std::vector<LogLine>
ReadLogLines(std::istream& aStream);

/** Collects what is logged about a request from lines of any number of daemons, in any order. */
RequestTrace
BuildRequestTrace(const std::string& aRequest, std::vector<LogLine> aLines);

/** @return the trace as human-readable text. */
std::string
TraceText(const RequestTrace& aTrace);

/** @return the trace as JSON. */
std::string
TraceJson(const RequestTrace& aTrace);

} // namespace skylarkwing::console
