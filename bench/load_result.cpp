#include "bench/load_result.h"

#include <algorithm>
#include <cmath>

namespace skylarkwing::bench {

namespace {

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0.0;
}

} // namespace

std::uint64_t
CallerFaults::Total() const
{
  return malformed + mixedSnapshots + falseCoverage + wrongHits + falseNotRun;
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto n = static_cast<std::ptrdiff_t>(std::ceil(aQuantile * last));
  std::nth_element(aValues.begin(), aValues.begin() + n, aValues.end());
  return aValues[static_cast<std::size_t>(n)];
}

double
LoadResult::LatencyMs(double aQuantile) const
{
  return Quantile(latenciesMs, aQuantile);
}

double
LoadResult::Coverage() const
{
  return Ratio(static_cast<double>(partsAnswered), static_cast<double>(partsNeeded));
}

double
LoadResult::ExtraLoad() const
{
  const auto needed = static_cast<double>(partsNeeded);
  return Ratio(static_cast<double>(upstream.received) - needed, needed);
}

double
LoadResult::AnsweredShare() const
{
  return Ratio(static_cast<double>(answered), static_cast<double>(sent));
}

double
LoadResult::WorstSecond() const
{
  // Seconds with few queries, such as a truncated last one, are not representative.
  constexpr std::uint64_t kMinQueries = 10;
  double worst = 1.0;
  for (const SecondOfLoad& second : seconds) {
    if (second.sent < kMinQueries) {
      continue;
    }
    const double answeredShare =
      Ratio(static_cast<double>(second.answered), static_cast<double>(second.sent));
    worst = std::min(worst, answeredShare * Ratio(second.shardsAnswered, second.shardsTotal));
  }
  return worst;
}

std::uint64_t
LoadResult::ViolationCount() const
{
  return faults.Total() + properties.Total();
}

void
to_json(nlohmann::json& aJson, const LoadResult& aResult)
{
  aJson = { { "sent", aResult.sent },
            { "answered", aResult.answered },
            { "answeredShare", aResult.AnsweredShare() },
            { "complete", aResult.complete },
            { "late", aResult.late },
            { "p50Ms", aResult.LatencyMs(kMedian) },
            { "p99Ms", aResult.LatencyMs(kP99) },
            { "coverage", aResult.Coverage() },
            { "worstSecond", aResult.WorstSecond() },
            { "extraLoad", aResult.ExtraLoad() },
            { "refusals", aResult.refusals },
            { "callerFaults", aResult.faults },
            { "properties", aResult.properties },
            { "upstream", aResult.upstream },
            { "broken", aResult.ViolationCount() } };
  for (const auto& [profile, latencies] : aResult.profileLatenciesMs) {
    aJson["profiles"][profile] = { { "answered", latencies.size() },
                                   { "p50Ms", Quantile(latencies, kMedian) },
                                   { "p99Ms", Quantile(latencies, kP99) } };
  }
}

} // namespace skylarkwing::bench
