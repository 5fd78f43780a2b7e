#include "console/request_trace.h"

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

/** Events of which only the latest one per daemon is part of the context. */
constexpr std::array<std::string_view, 14> kLatestOnlyEvents{ "configuration_in_force",
                                                              "fleet_changed",
                                                              "load_changed",
                                                              "operator_feed_lost",
                                                              "operator_feed_answers",
                                                              "replica_feed_lost",
                                                              "replica_feed_answers",
                                                              "started",
                                                              "stopping",
                                                              "store_era_changed",
                                                              "partition_checked",
                                                              "partition_ended",
                                                              "peer_has_newer_configuration",
                                                              "store_restored" };

/** Events about one replica; part of the context when a line of the request names it. */
constexpr std::array<std::string_view, 10> kReplicaEvents{
  "replica_suspected", "replica_elsewhere",      "replica_leaving", "replica_resting",
  "replica_limited",   "replica_announced",      "replica_gone",    "announcement_unreadable",
  "replica_ended",     "replica_end_unconfirmed"
};

/** Those after which a replica accepts no work, or less. */
constexpr std::array<std::string_view, 3> kNoticeEvents{ "replica_leaving",
                                                         "replica_resting",
                                                         "replica_limited" };

/** Events about a request's content; part of the context on whichever daemon they were written. */
constexpr std::array<std::string_view, 3> kFingerprintEvents{ "request_suspected",
                                                              "crash_notice_read",
                                                              "crash_disproved" };

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

/** @return whether any line of the request names a replica or a service. */
bool
IsMentioned(const std::vector<LogLine>& aLines, const std::string& aName)
{
  return !aName.empty() && std::any_of(aLines.begin(), aLines.end(), [&aName](const auto& aLine) {
    return aLine.Field("reason").find(aName) != std::string::npos;
  });
}

/** @return whether a line concerns a replica that the request used or avoided. */
bool
ConcernsRequestReplica(const std::vector<LogLine>& aLines, const LogLine& aLine)
{
  // A replica that accepts no work is named in the request by its service only.
  const bool isNotice = Contains(kNoticeEvents, aLine.event);
  return Contains(kReplicaEvents, aLine.event) &&
         (IsMentioned(aLines, aLine.Field("replica")) ||
          (isNotice && IsMentioned(aLines, aLine.Field("service") + ':')));
}

/** @return whether a line tells of replicas that ended under the request's content. */
bool
ConcernsFingerprint(const std::vector<LogLine>& aLines, const LogLine& aLine)
{
  const std::string fingerprint = aLine.Field("fingerprint");
  return !fingerprint.empty() && Contains(kFingerprintEvents, aLine.event) &&
         aLine.Field("request") != aLines.back().Field("request") &&
         std::any_of(aLines.begin(), aLines.end(), [&fingerprint](const LogLine& aOwn) {
           return aOwn.Field("fingerprint") == fingerprint;
         });
}

void
AddContext(RequestTrace& aTrace, const std::vector<LogLine>& aLines)
{
  const LogLine& last = aTrace.lines.back();
  std::set<std::string> vms;
  for (const LogLine& line : aTrace.lines) {
    vms.insert(line.vm);
  }
  std::map<std::pair<std::string, std::string>, const LogLine*> latest;
  for (const LogLine& line : aLines) {
    if (line.time <= last.time && ConcernsFingerprint(aTrace.lines, line)) {
      aTrace.context.push_back(line);
      continue;
    }
    if (vms.count(line.vm) == 0 || line.time > last.time) {
      continue;
    }
    if (Contains(kLatestOnlyEvents, line.event)) {
      latest[{ line.vm, line.event }] = &line;
    }
    const bool isDomain = line.event == "domain_out";
    if (isDomain || ConcernsRequestReplica(aTrace.lines, line)) {
      aTrace.context.push_back(line);
    }
  }
  for (const auto& [key, line] : latest) {
    aTrace.context.push_back(*line);
  }
  std::stable_sort(aTrace.context.begin(), aTrace.context.end(), IsEarlier);
}

void
AddGaps(RequestTrace& aTrace, const std::vector<LogLine>& aLines)
{
  if (aTrace.lines.empty()) {
    aTrace.unknown.push_back("no line names this request: no daemon of these logs received it, its "
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
      aTrace.unknown.push_back(vm + " dropped " + std::to_string(count) +
                               " lines of failed requests");
    }
  }
  for (const LogLine& line : aTrace.lines) {
    if (line.Field("reason").find("=running") != std::string::npos) {
      aTrace.unknown.push_back("how the attempts marked `running` ended: the request was over");
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

RequestTrace
BuildRequestTrace(const std::string& aRequest, std::vector<LogLine> aLines)
{
  std::stable_sort(aLines.begin(), aLines.end(), IsEarlier);
  RequestTrace trace;
  trace.request = aRequest;
  for (const LogLine& line : aLines) {
    if (line.Field("request") == aRequest) {
      trace.lines.push_back(line);
    }
  }
  if (!trace.lines.empty()) {
    AddContext(trace, aLines);
  }
  AddGaps(trace, aLines);
  return trace;
}

std::string
TraceText(const RequestTrace& aTrace)
{
  std::string text = "request " + aTrace.request + "\n";
  for (const LogLine& line : aTrace.lines) {
    text += LineText(line);
  }
  if (!aTrace.context.empty()) {
    text += "known before\n";
    for (const LogLine& line : aTrace.context) {
      text += LineText(line);
    }
  }
  if (!aTrace.unknown.empty()) {
    text += "unknown\n";
    for (const std::string& gap : aTrace.unknown) {
      text += "  " + gap + "\n";
    }
  }
  return text;
}

std::string
TraceJson(const RequestTrace& aTrace)
{
  const ordered_json json{ { "request", aTrace.request },
                           { "lines", LinesJson(aTrace.lines) },
                           { "knownBefore", LinesJson(aTrace.context) },
                           { "unknown", aTrace.unknown } };
  return json.dump(2) + "\n";
}

} // namespace skylarkwing::console
