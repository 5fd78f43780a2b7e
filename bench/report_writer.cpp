#include "bench/report_writer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <sstream>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kPercent = 100.0;

/** One column of the tables. */
struct Column
{
  std::string name;
  std::function<std::string(const ExperimentResult&)> value;
};

std::string
Fixed(double aValue, int aDigits)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(aDigits) << aValue;
  return out.str();
}

std::string
Percent(double aShare)
{
  return Fixed(aShare * kPercent, 2);
}

std::uint64_t
Sum(const std::map<std::string, std::uint64_t>& aCounts)
{
  std::uint64_t sum = 0;
  for (const auto& [name, n] : aCounts) {
    sum += n;
  }
  return sum;
}

const std::vector<Column>&
Columns()
{
  using Result = ExperimentResult;
  static const std::vector<Column> kColumns{
    { "deployment", [](const Result& aRun) { return aRun.deployment; } },
    { "scenario", [](const Result& aRun) { return aRun.scenario; } },
    { "policy", [](const Result& aRun) { return std::string(NameOf(aRun.policy)); } },
    { "seed", [](const Result& aRun) { return std::to_string(aRun.seed); } },
    { "sent", [](const Result& aRun) { return std::to_string(aRun.load.sent); } },
    { "answered_pct", [](const Result& aRun) { return Percent(aRun.load.AnsweredShare()); } },
    { "p50_ms", [](const Result& aRun) { return Fixed(aRun.load.LatencyMs(kMedian), 1); } },
    { "p99_ms", [](const Result& aRun) { return Fixed(aRun.load.LatencyMs(kP99), 1); } },
    { "coverage_pct", [](const Result& aRun) { return Percent(aRun.load.Coverage()); } },
    { "worst_second_pct", [](const Result& aRun) { return Percent(aRun.load.WorstSecond()); } },
    { "extra_load_pct", [](const Result& aRun) { return Percent(aRun.load.ExtraLoad()); } },
    { "late", [](const Result& aRun) { return std::to_string(aRun.load.late); } },
    { "refused", [](const Result& aRun) { return std::to_string(Sum(aRun.load.refusals)); } },
    { "broken", [](const Result& aRun) { return std::to_string(aRun.load.ViolationCount()); } },
  };
  return kColumns;
}

json
SecondsToJson(const LoadResult& aResult)
{
  json seconds = json::array();
  for (const SecondOfLoad& second : aResult.seconds) {
    const double coverage =
      second.shardsTotal > 0 ? second.shardsAnswered / second.shardsTotal : 0.0;
    seconds.push_back({ { "sent", second.sent },
                        { "answered", second.answered },
                        { "coverage", coverage },
                        { "p99Ms", Quantile(second.latenciesMs, kP99) } });
  }
  return seconds;
}

std::string
EscapeHtml(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

/** One polyline of a plot. */
struct Series
{
  Policy policy;
  std::vector<double> values;
};

std::string
PolyLine(const Series& aSeries, double aMax, double aWidth, double aHeight)
{
  std::ostringstream points;
  const auto steps = static_cast<double>(std::max<std::size_t>(aSeries.values.size(), 2) - 1);
  for (std::size_t n = 0; n < aSeries.values.size(); ++n) {
    const double x = aWidth * static_cast<double>(n) / steps;
    const double y = aHeight * (1.0 - std::min(aSeries.values[n] / aMax, 1.0));
    points << Fixed(x, 1) << ',' << Fixed(y, 1) << ' ';
  }
  const std::string color = aSeries.policy == Policy::Standard ? "#0a6" : "#c40";
  return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + color + "\" points=\"" +
         points.str() + "\"/>";
}

std::string
Plot(const std::string& aTitle, const std::vector<Series>& aSeries, double aMax)
{
  constexpr double kWidth = 460.0;
  constexpr double kHeight = 160.0;
  std::string svg = "<figure><figcaption>" + aTitle + ", 0 to " + Fixed(aMax, 0) +
                    "</figcaption><svg viewBox=\"-2 -2 464 164\" width=\"464\" height=\"164\">"
                    "<rect width=\"460\" height=\"160\" fill=\"#f6f6f6\" stroke=\"#ccc\"/>";
  for (const Series& series : aSeries) {
    svg += PolyLine(series, aMax, kWidth, kHeight);
  }
  return svg + "</svg></figure>";
}

std::vector<Series>
MakeSeries(const std::vector<const ExperimentResult*>& aRuns,
           const std::function<double(const SecondOfLoad&)>& aValue)
{
  std::vector<Series> all;
  for (const ExperimentResult* run : aRuns) {
    Series series{ run->policy, {} };
    for (const SecondOfLoad& second : run->load.seconds) {
      series.values.push_back(aValue(second));
    }
    all.push_back(std::move(series));
  }
  return all;
}

double
MaxValue(const std::vector<Series>& aSeries)
{
  double highest = 1.0;
  for (const Series& series : aSeries) {
    for (const double value : series.values) {
      highest = std::max(highest, value);
    }
  }
  return highest;
}

std::string
MakePlots(const std::vector<const ExperimentResult*>& aRuns)
{
  const auto latency = MakeSeries(
    aRuns, [](const SecondOfLoad& aSecond) { return Quantile(aSecond.latenciesMs, kP99); });
  const auto coverage = MakeSeries(aRuns, [](const SecondOfLoad& aSecond) {
    return aSecond.shardsTotal > 0 ? kPercent * aSecond.shardsAnswered / aSecond.shardsTotal : 0.0;
  });
  const auto answered = MakeSeries(aRuns, [](const SecondOfLoad& aSecond) {
    const auto sent = static_cast<double>(std::max<std::uint64_t>(aSecond.sent, 1));
    return kPercent * static_cast<double>(aSecond.answered) / sent;
  });
  return "<div class=\"plots\">" + Plot("p99 of each second in ms", latency, MaxValue(latency)) +
         Plot("coverage of each second in %", coverage, kPercent) +
         Plot("answered of each second in %", answered, kPercent) + "</div>";
}

std::string
HtmlTable(const std::vector<ExperimentResult>& aResults)
{
  std::string table = "<table><tr>";
  for (const Column& column : Columns()) {
    table += "<th>" + column.name + "</th>";
  }
  table += "</tr>";
  for (const ExperimentResult& run : aResults) {
    table += "<tr>";
    for (const Column& column : Columns()) {
      table += "<td>" + EscapeHtml(column.value(run)) + "</td>";
    }
    table += "</tr>";
  }
  return table + "</table>";
}

} // namespace

std::string
ToTable(const std::vector<ExperimentResult>& aResults)
{
  std::ostringstream out;
  std::vector<std::size_t> widths;
  for (const Column& column : Columns()) {
    std::size_t width = column.name.size();
    for (const ExperimentResult& run : aResults) {
      width = std::max(width, column.value(run).size());
    }
    widths.push_back(width);
    out << std::setw(static_cast<int>(width)) << column.name << "  ";
  }
  out << '\n';
  for (const ExperimentResult& run : aResults) {
    for (std::size_t n = 0; n < widths.size(); ++n) {
      out << std::setw(static_cast<int>(widths[n])) << Columns()[n].value(run) << "  ";
    }
    out << '\n';
  }
  return out.str();
}

std::string
ToCsv(const std::vector<ExperimentResult>& aResults)
{
  std::string text;
  for (const Column& column : Columns()) {
    text += (text.empty() ? "" : ",") + column.name;
  }
  text += '\n';
  for (const ExperimentResult& run : aResults) {
    std::string row;
    for (const Column& column : Columns()) {
      row += (row.empty() ? "" : ",") + column.value(run);
    }
    text += row + '\n';
  }
  return text;
}

std::string
ToJsonText(const std::vector<ExperimentResult>& aResults)
{
  json runs = json::array();
  for (const ExperimentResult& run : aResults) {
    json load = run.load;
    load["seconds"] = SecondsToJson(run.load);
    runs.push_back({ { "deployment", run.deployment },
                     { "scenario", run.scenario },
                     { "policy", NameOf(run.policy) },
                     { "seed", run.seed },
                     { "error", run.error },
                     { "load", load },
                     { "store", run.store } });
  }
  constexpr int kIndent = 2;
  return json{ { "runs", runs } }.dump(kIndent) + "\n";
}

std::string
ToHtml(const std::vector<ExperimentResult>& aResults)
{
  std::string page =
    "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>skylarkwing bench</title>"
    "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}"
    ".plots{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0}</style>"
    "<h1>skylarkwing bench</h1><p><b style=\"color:#0a6\">standard</b> and "
    "<b style=\"color:#c40\">naive</b> policy.</p>";
  page += HtmlTable(aResults);
  std::map<std::string, std::vector<const ExperimentResult*>> byScenario;
  for (const ExperimentResult& run : aResults) {
    byScenario[run.deployment + ": " + run.scenario].push_back(&run);
  }
  for (const auto& [title, runs] : byScenario) {
    page += "<h2>" + EscapeHtml(title) + "</h2>" + MakePlots(runs);
  }
  return page + "</html>\n";
}

} // namespace skylarkwing::bench
