#pragma once

#include "standin/property_counts.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** How often callers saw a property of the system broken. Every count should be 0. */
struct CallerFaults
{
  std::uint64_t malformed = 0;
  std::uint64_t mixedSnapshots = 0;
  std::uint64_t falseCoverage = 0;
  std::uint64_t wrongHits = 0;
  /** Refusals that said "not run" of requests that ran. */
  std::uint64_t falseNotRun = 0;

  /** @return the sum of all counts. */
  std::uint64_t Total() const;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerFaults,
                                   malformed,
                                   mixedSnapshots,
                                   falseCoverage,
                                   wrongHits,
                                   falseNotRun)

/** What callers saw in one second of an experiment, by intended start. */
struct SecondOfLoad
{
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  double shardsAnswered = 0;
  double shardsTotal = 0;
  std::vector<double> latenciesMs;
};

/** What one experiment gave. */
struct LoadResult
{
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t complete = 0;
  /** Answers that came later than the caller was prepared to wait. */
  std::uint64_t late = 0;
  /** Shards that a query would have asked once each, over all answered queries. */
  std::uint64_t partsNeeded = 0;
  std::uint64_t partsAnswered = 0;
  /** Refusals by their error, and failures of the connection by theirs. */
  std::map<std::string, std::uint64_t> refusals;
  /** Latencies of answers from their intended start, in ms, in no order. */
  std::vector<double> latenciesMs;
  /** The same by profile: one that may not run twice has no hedges, which shows in its tail. */
  std::map<std::string, std::vector<double>> profileLatenciesMs;
  std::vector<SecondOfLoad> seconds;
  CallerFaults faults;

  // From the stand-ins.
  standin::PropertyCounts properties;
  standin::UpstreamLoad upstream;

  /** @return a quantile of the latencies, in ms; 0 without any. */
  double LatencyMs(double aQuantile) const;

  /** @return the share of shards that answers covered, 0 to 1. */
  double Coverage() const;

  /** @return searches at upstreams beyond one for each shard of each answered query, as a share. */
  double ExtraLoad() const;

  /** @return the share of queries that got an answer, whole or partial. */
  double AnsweredShare() const;

  /**
   * @return the least service of any second: the share of its queries that were answered times the
   *         coverage of those answers, 0 to 1. It shows what a change of failure domains costs.
   */
  double WorstSecond() const;

  /** @return how often any property was broken. */
  std::uint64_t Broken() const;
};

/** @return a quantile of values in no order; 0 without any. */
double
Quantile(std::vector<double> aValues, double aQuantile);

/** Writes the figures of a result; single latencies are left out. */
void
to_json(nlohmann::json& aJson, const LoadResult& aResult);

} // namespace skylarkwing::bench
