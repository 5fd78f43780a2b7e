#include "console/burn_report_page.h"

#include "console/burn_report_text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <sstream>
#include <string_view>
#include <vector>

namespace skylarkwing::console {

namespace {

constexpr double kPlotWidth = 720.0;
constexpr double kPlotHeight = 120.0;
constexpr double kPlotMargin = 48.0;
constexpr double kPlotBottom = 24.0;
/** Grid lines closer to the topmost one than this share of the plot height are omitted. */
constexpr double kMinLabelGap = 0.12;
constexpr double kPercent = 100.0;
/** Minimum top of the burn rate axis, so that low rates are not magnified. */
constexpr double kMinScale = 2.0;
/** Burn rates that get a grid line. */
constexpr std::array kGridRates{ 0.0, 1.0, 6.0, 14.4, 100.0 };
constexpr double kWholeNumberMin = 20.0;

constexpr std::string_view kStyle = R"css(
body{font:16px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;
  color:#16202a;background:#fff}
h1{font-size:1.7rem}h2{margin-top:2.2rem;border-top:2px solid #16202a;padding-top:.6rem}
table{border-collapse:collapse;margin:.6rem 0;font-variant-numeric:tabular-nums}
th,td{padding:.25rem .8rem;text-align:right;border-bottom:1px solid #b9c2ca}
th:first-child,td:first-child{text-align:left}
.page{font-weight:700;color:#a30000}.ticket{font-weight:700;color:#7a4b00}.none{color:#0b5a2a}
svg{display:block;max-width:100%;height:auto}figcaption{font-size:.9rem}
figure{margin:1rem 0}
)css";

std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char byte : aText) {
    switch (byte) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += byte;
    }
  }
  return escaped;
}

std::string
Percent(double aShare, int aDecimals)
{
  return Fixed(aShare * kPercent, aDecimals) + "%";
}

/** A curve of burn rates, newest first, and its line style. */
struct BurnCurve
{
  std::string_view colour;
  std::string_view dash;
  /** Absent for buckets without answers. */
  std::vector<std::optional<double>> rates;
};

double
ScaleOf(const std::vector<BurnCurve>& aCurves)
{
  double scale = kMinScale;
  for (const BurnCurve& curve : aCurves) {
    for (const std::optional<double>& rate : curve.rates) {
      scale = std::max(scale, rate.value_or(0.0));
    }
  }
  return scale;
}

/** @return the share of the plot height; logarithmic, so that 1 is visible beside 1000. */
double
HeightOf(double aRate, double aScale)
{
  return std::log1p(aRate) / std::log1p(aScale);
}

std::string
YCoordinateOf(double aRate, double aScale)
{
  return Fixed(kPlotHeight * (1.0 - HeightOf(aRate, aScale)), 1);
}

void
WriteCurve(std::ostream& aOut, const BurnCurve& aCurve, double aScale)
{
  const auto last = static_cast<double>(std::max<std::size_t>(aCurve.rates.size(), 2) - 1);
  bool isOpen = false;
  for (std::size_t age = 0; age < aCurve.rates.size(); ++age) {
    const std::optional<double>& rate = aCurve.rates[age];
    if (!rate) {
      aOut << (isOpen ? "\"/>" : "");
      isOpen = false;
      continue;
    }
    const std::string point = Fixed(kPlotWidth * (1.0 - static_cast<double>(age) / last), 1) + ',' +
                              YCoordinateOf(*rate, aScale) + ' ';
    if (!isOpen) {
      // The first point is written twice, so that a single bucket is drawn as a dot.
      aOut << "<polyline fill=\"none\" stroke=\"" << aCurve.colour
           << "\" stroke-width=\"2\" stroke-linecap=\"round\" stroke-dasharray=\"" << aCurve.dash
           << "\" points=\"" << point;
    }
    aOut << point;
    isOpen = true;
  }
  aOut << (isOpen ? "\"/>" : "");
}

void
WriteGridLine(std::ostream& aOut, double aRate, double aScale)
{
  const std::string y = YCoordinateOf(aRate, aScale);
  aOut << "<line x1=\"0\" x2=\"" << kPlotWidth << "\" y1=\"" << y << "\" y2=\"" << y
       << "\" stroke=\"#8a949d\"/><text x=\"-6\" y=\"" << y
       << "\" text-anchor=\"end\" dominant-baseline=\"middle\" font-size=\"12\">"
       << Fixed(aRate, aRate < kWholeNumberMin && aRate > 1.0 ? 1 : 0) << "</text>";
}

void
WriteTimeLabels(std::ostream& aOut, std::string_view aOldest)
{
  const std::string y = Fixed(kPlotHeight + kPlotBottom - 8.0, 0);
  aOut << "<text x=\"0\" y=\"" << y << "\" font-size=\"12\">" << aOldest << "</text><text x=\""
       << kPlotWidth << "\" y=\"" << y << "\" text-anchor=\"end\" font-size=\"12\">now</text>";
}

void
WritePlot(std::ostream& aOut,
          const std::vector<BurnCurve>& aCurves,
          std::string_view aOldest,
          const std::string& aCaption)
{
  const double scale = ScaleOf(aCurves);
  aOut << "<figure><svg role=\"img\" aria-label=\"" << Escape(aCaption) << "\" viewBox=\""
       << -kPlotMargin << " -8 " << kPlotWidth + 2 * kPlotMargin << ' '
       << kPlotHeight + kPlotBottom + 8 << "\" width=\"" << kPlotWidth + 2 * kPlotMargin << "\">";
  for (const double level : kGridRates) {
    if (HeightOf(level, scale) < 1.0 - kMinLabelGap) {
      WriteGridLine(aOut, level, scale);
    }
  }
  WriteGridLine(aOut, scale, scale);
  WriteTimeLabels(aOut, aOldest);
  for (const BurnCurve& curve : aCurves) {
    WriteCurve(aOut, curve, scale);
  }
  aOut << "</svg><figcaption>" << Escape(aCaption) << "</figcaption></figure>\n";
}

std::optional<double>
RateOf(std::uint64_t aBad, std::uint64_t aTotal, double aObjective)
{
  if (aTotal == 0) {
    return std::nullopt;
  }
  return BurnRate(aBad, aTotal, aObjective);
}

std::vector<BurnCurve>
CurvesOf(const ProfileReport& aProfile, const std::vector<BurnCounts>& aSeries)
{
  BurnCurve latency{ "#0047ab", "none", {} };
  BurnCurve coverage{ "#b34700", "6 4", {} };
  for (const BurnCounts& counts : aSeries) {
    latency.rates.push_back(RateOf(counts.slow, counts.total, aProfile.latencyShare));
    coverage.rates.push_back(RateOf(counts.incomplete, counts.total, aProfile.completeShare));
  }
  return { std::move(latency), std::move(coverage) };
}

void
WriteObjective(std::ostream& aOut,
               const char* aName,
               const std::string& aUrgency,
               double aBudgetLeft)
{
  aOut << "<p>" << aName << ": <span class=\"" << Escape(aUrgency) << "\">urgency "
       << Escape(aUrgency) << "</span>, budget left " << Percent(aBudgetLeft, 1) << ".</p>\n";
}

void
WriteWindows(std::ostream& aOut, const ProfileReport& aProfile)
{
  aOut << "<table><thead><tr><th scope=\"col\">Window</th><th scope=\"col\">Answers</th>"
          "<th scope=\"col\">Late</th><th scope=\"col\">Incomplete</th>"
          "<th scope=\"col\">Latency burn</th><th scope=\"col\">Coverage burn</th>"
          "<th scope=\"col\">Known</th></tr></thead><tbody>\n";
  for (const WindowReport& window : aProfile.windows) {
    aOut << "<tr><th scope=\"row\">" << Escape(window.window) << "</th><td>" << window.counts.total
         << "</td><td>" << window.counts.slow << "</td><td>" << window.counts.incomplete
         << "</td><td>" << Fixed(window.latencyBurn, 2) << "</td><td>"
         << Fixed(window.coverageBurn, 2) << "</td><td>" << Percent(window.known, 0)
         << "</td></tr>\n";
  }
  aOut << "</tbody></table>\n";
}

void
WriteProfile(std::ostream& aOut, const ProfileReport& aProfile)
{
  const std::string name = Escape(aProfile.profile);
  aOut << "<h2>" << name << "</h2>\n<p>Objective: " << Percent(aProfile.latencyShare, 3)
       << " of answers within " << aProfile.latencyMilliseconds << " ms, "
       << Percent(aProfile.completeShare, 3) << " complete. The present p99 is "
       << Fixed(aProfile.p99Milliseconds, 0) << " ms.</p>\n";
  WriteObjective(aOut, "Latency", aProfile.latencyUrgency, aProfile.latencyBudgetLeft);
  WriteObjective(aOut, "Coverage", aProfile.coverageUrgency, aProfile.coverageBudgetLeft);
  WriteWindows(aOut, aProfile);
  const std::string legend = " (latency: solid, coverage: dashed; 1 spends exactly the budget)";
  WritePlot(aOut,
            CurvesOf(aProfile, aProfile.minutes),
            "1 h ago",
            "Burn of " + aProfile.profile + " in each minute of the last hour" + legend);
  WritePlot(aOut,
            CurvesOf(aProfile, aProfile.hours),
            "3 d ago",
            "Burn of " + aProfile.profile + " in each hour of the last 3 days" + legend);
}

void
WriteFaults(std::ostream& aOut, const BurnReport& aReport)
{
  aOut << "<h2>Shards that degraded answers in the last hours</h2>\n";
  if (aReport.worstShards.empty()) {
    aOut << "<p>None.</p>\n";
    return;
  }
  aOut << "<table><thead><tr><th scope=\"col\">Shard</th><th scope=\"col\">Missing</th>"
          "<th scope=\"col\">Slow</th></tr></thead><tbody>\n";
  for (const ShardFaultCount& fault : aReport.worstShards) {
    const std::string& domain = fault.place.failureDomain;
    aOut << "<tr><th scope=\"row\">" << Escape(fault.place.index) << " shard " << fault.place.shard
         << " in " << (domain.empty() ? "no failure domain" : Escape(domain)) << "</th><td>"
         << fault.missing << "</td><td>" << fault.slow << "</td></tr>\n";
  }
  for (const DomainFaultCount& fault : aReport.worstDomains) {
    const std::string& domain = fault.failureDomain;
    aOut << "<tr><th scope=\"row\">all of " << (domain.empty() ? "no domain" : Escape(domain))
         << "</th><td>" << fault.missing << "</td><td>" << fault.slow << "</td></tr>\n";
  }
  aOut << "</tbody></table>\n";
}

} // namespace

std::string
ToHtml(const BurnReport& aReport)
{
  const std::string deployment = Escape(aReport.deployment);
  std::ostringstream out;
  out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<meta name=\"viewport\" content=\"width=device-width\">\n<title>Service-level burn of "
      << deployment << "</title><style>" << kStyle << "</style></head><body>\n"
      << "<h1>Service-level burn of " << deployment << "</h1>\n<p>Made at "
      << FormatUtc(aReport.madeAt) << ". " << Escape(DescribeHistory(aReport)) << "</p>\n";
  for (const ProfileReport& profile : aReport.profiles) {
    WriteProfile(out, profile);
  }
  WriteFaults(out, aReport);
  out << "</body></html>\n";
  return out.str();
}

} // namespace skylarkwing::console
