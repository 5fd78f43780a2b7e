#pragma once

#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwing::console {

/** One line of a daemon's log. */
struct LogLine
{
  /** As written, in UTC with milliseconds; lines of one daemon are in this order. */
  std::string time;
  /** Which daemon wrote it, empty when it doesn't say. */
  std::string vm;
  std::string event;
  /** All fields but the above, in the order written. */
  std::vector<std::pair<std::string, std::string>> fields;

  /** @return the value of a field, empty when there is none. */
  std::string Field(const std::string& aName) const;
};

/** What the logs tell about one request. */
struct RequestStory
{
  std::string request;
  /** Lines that name the request, in order. */
  std::vector<LogLine> lines;
  /** What the daemons that handled it had learned before that bears on it, in order. */
  std::vector<LogLine> context;
  /** What can't be known from these logs, in words. */
  std::vector<std::string> unknown;
};

/**
 * Reads the structured lines of one stream. Text before a line's first brace, such as a collector's
 * own time, is passed over, and so are lines that are none of ours.
 */
std::vector<LogLine>
ReadLogLines(std::istream& aStream);

/** Collects what lines of any number of daemons, in any order, tell about a request. */
RequestStory
TellStory(const std::string& aRequest, std::vector<LogLine> aLines);

/** @return the story as text for people. */
std::string
StoryText(const RequestStory& aStory);

/** @return the story as JSON. */
std::string
StoryJson(const RequestStory& aStory);

} // namespace skylarkwing::console
