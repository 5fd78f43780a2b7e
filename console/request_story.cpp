#include "console/request_story.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace skylarkwing::console {

namespace {

using nlohmann::ordered_json;

/** Events of which only the last one before the request counts, by daemon. */
constexpr std::array<std::string_view, 9> kStateEvents{ "configuration_in_force",
                                                        "fleet_changed",
                                                        "load_changed",
                                                        "operator_feed_lost",
                                                        "operator_feed_answers",
                                                        "replica_feed_lost",
                                                        "replica_feed_answers",
                                                        "started",
                                                        "stopping" };

/** Events about one replica; they count when the request's lines name it. */
constexpr std::array<std::string_view, 7> kReplicaEvents{
  "replica_suspected", "replica_elsewhere", "replica_leaving",        "replica_resting",
  "replica_announced", "replica_gone",      "announcement_unreadable"
};

template<typename Names>
bool
Contains(const Names& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

bool
IsEarlier(const LogLine& aLeft, const LogLine& aRight)
{
  return aLeft.time < aRight.time;
}

/** @return whether any line of the request names a replica, or a service. */
bool
IsNamed(const std::vector<LogLine>& aLines, const std::string& aName)
{
  return !aName.empty() && std::any_of(aLines.begin(), aLines.end(), [&aName](const auto& aLine) {
    return aLine.Field("reason").find(aName) != std::string::npos;
  });
}

/** @return whether a line tells of a replica that the request met, or kept away from. */
bool
IsOfItsReplicas(const std::vector<LogLine>& aLines, const LogLine& aLine)
{
  // A replica that wants nothing is named by its service only.
  const bool isNotice = aLine.event == "replica_leaving" || aLine.event == "replica_resting";
  return Contains(kReplicaEvents, aLine.event) &&
         (IsNamed(aLines, aLine.Field("replica")) ||
          (isNotice && IsNamed(aLines, aLine.Field("service") + ':')));
}

void
AddContext(RequestStory& aStory, const std::vector<LogLine>& aLines)
{
  const LogLine& last = aStory.lines.back();
  std::set<std::string> vms;
  for (const LogLine& line : aStory.lines) {
    vms.insert(line.vm);
  }
  std::map<std::pair<std::string, std::string>, const LogLine*> latest;
  for (const LogLine& line : aLines) {
    if (vms.count(line.vm) == 0 || line.time > last.time) {
      continue;
    }
    if (Contains(kStateEvents, line.event)) {
      latest[{ line.vm, line.event }] = &line;
    }
    const bool isDomain = line.event == "domain_out";
    if (isDomain || IsOfItsReplicas(aStory.lines, line)) {
      aStory.context.push_back(line);
    }
  }
  for (const auto& [key, line] : latest) {
    aStory.context.push_back(*line);
  }
  std::stable_sort(aStory.context.begin(), aStory.context.end(), IsEarlier);
}

void
AddUnknown(RequestStory& aStory, const std::vector<LogLine>& aLines)
{
  if (aStory.lines.empty()) {
    aStory.unknown.push_back("no line names this request: it reached no daemon of these logs, its "
                             "line was dropped, or it succeeded (successes are sampled)");
  }
  std::map<std::string, std::uint64_t> dropped;
  for (const LogLine& line : aLines) {
    if (line.event == "lines_dropped") {
      dropped[line.vm] += std::strtoull(line.Field("failures").c_str(), nullptr, 10);
    }
  }
  for (const auto& [vm, count] : dropped) {
    if (count > 0) {
      aStory.unknown.push_back(vm + " dropped " + std::to_string(count) +
                               " lines of failed requests");
    }
  }
  for (const LogLine& line : aStory.lines) {
    if (line.Field("reason").find("=running") != std::string::npos) {
      aStory.unknown.push_back("how the attempts marked `running` ended: the request was over");
      break;
    }
  }
}

std::string
LineText(const LogLine& aLine)
{
  std::string text;
  for (const std::string* part : { &aLine.time, &aLine.vm, &aLine.event }) {
    text.append("  ").append(*part);
  }
  for (const auto& [name, value] : aLine.fields) {
    if (!value.empty() && name != "level" && name != "slice" && name != "request") {
      text.append("  ").append(name).append("=").append(value);
    }
  }
  text += '\n';
  return text;
}

ordered_json
LinesJson(const std::vector<LogLine>& aLines)
{
  ordered_json list = ordered_json::array();
  for (const LogLine& line : aLines) {
    ordered_json entry{ { "time", line.time }, { "vm", line.vm }, { "event", line.event } };
    for (const auto& [name, value] : line.fields) {
      entry[name] = value;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

} // namespace

std::string
LogLine::Field(const std::string& aName) const
{
  for (const auto& [name, value] : fields) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

std::vector<LogLine>
ReadLogLines(std::istream& aStream)
{
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(aStream, text)) {
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
      continue;
    }
    const ordered_json json = ordered_json::parse(text.substr(brace), nullptr, false);
    if (!json.is_object() || !json.contains("event") || !json.contains("time")) {
      continue;
    }
    LogLine line;
    for (const auto& [name, value] : json.items()) {
      std::string field = value.is_string() ? value.get<std::string>() : value.dump();
      if (name == "time") {
        line.time = std::move(field);
      } else if (name == "vm") {
        line.vm = std::move(field);
      } else if (name == "event") {
        line.event = std::move(field);
      } else {
        line.fields.emplace_back(name, std::move(field));
      }
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

RequestStory
TellStory(const std::string& aRequest, std::vector<LogLine> aLines)
{
  std::stable_sort(aLines.begin(), aLines.end(), IsEarlier);
  RequestStory story;
  story.request = aRequest;
  for (const LogLine& line : aLines) {
    if (line.Field("request") == aRequest) {
      story.lines.push_back(line);
    }
  }
  if (!story.lines.empty()) {
    AddContext(story, aLines);
  }
  AddUnknown(story, aLines);
  return story;
}

std::string
StoryText(const RequestStory& aStory)
{
  std::string text = "request " + aStory.request + "\n";
  for (const LogLine& line : aStory.lines) {
    text += LineText(line);
  }
  if (!aStory.context.empty()) {
    text += "known before\n";
    for (const LogLine& line : aStory.context) {
      text += LineText(line);
    }
  }
  if (!aStory.unknown.empty()) {
    text += "unknown\n";
    for (const std::string& remark : aStory.unknown) {
      text += "  " + remark + "\n";
    }
  }
  return text;
}

std::string
StoryJson(const RequestStory& aStory)
{
  const ordered_json json{ { "request", aStory.request },
                           { "lines", LinesJson(aStory.lines) },
                           { "knownBefore", LinesJson(aStory.context) },
                           { "unknown", aStory.unknown } };
  return json.dump(2) + "\n";
}

} // namespace skylarkwing::console
