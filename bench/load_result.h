#pragma once

#include "standin/property_counts.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** Counts of property violations seen by callers. Every count should be 0. */
struct CallerFaults
{
  std::uint64_t malformed = 0;
  std::uint64_t mixedSnapshots = 0;
  std::uint64_t falseCoverage = 0;
  std::uint64_t wrongHits = 0;
  /** Refusals that claimed "not executed" for requests that were executed. */
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

/** Results of the queries scheduled in one second of an experiment. */
struct SecondOfLoad
{
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  double shardsAnswered = 0;
  double shardsTotal = 0;
  std::vector<double> latenciesMs;
};

/** Results of the load of one experiment. */
struct LoadResult
{
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t complete = 0;
  /** Answers that arrived after the caller's deadline, beyond a tolerance. */
  std::uint64_t late = 0;
  /** Shards of the index, summed over all answered queries. */
  std::uint64_t partsNeeded = 0;
  std::uint64_t partsAnswered = 0;
  /** Counts of refusals and of connection failures, by error. */
  std::map<std::string, std::uint64_t> refusals;
  /** Latencies of answers from the scheduled start, in ms, unordered. */
  std::vector<double> latenciesMs;
  /** Latencies by profile; profiles that are not idempotent have no hedges and a longer tail. */
  std::map<std::string, std::vector<double>> profileLatenciesMs;
  std::vector<SecondOfLoad> seconds;
  CallerFaults faults;

  // Counts of the stand-ins.
  standin::PropertyCounts properties;
  standin::UpstreamLoad upstream;

  /** @return a quantile of the latencies, in ms; 0 without answers. */
  double LatencyMs(double aQuantile) const;

  /** @return the share of shards that answers covered, 0 to 1. */
  double Coverage() const;

  /** @return upstream searches beyond one per shard of each answered query, as a share of those. */
  double ExtraLoad() const;

  /** @return the share of queries that got a complete or partial answer. */
  double AnsweredShare() const;

  /**
   * @return the lowest yield of any second: the share of its queries that were answered times the
   *         coverage of those answers, 0 to 1. It shows the cost of taking a failure domain out.
   */
  double WorstSecond() const;

  /** @return the number of property violations at callers and upstreams. */
  std::uint64_t ViolationCount() const;
};

/** @return a quantile of unordered values; 0 without any. */
double
Quantile(std::vector<double> aValues, double aQuantile);

/** Writes the aggregates of a result, without individual latencies. */
void
to_json(nlohmann::json& aJson, const LoadResult& aResult);

} // namespace skylarkwing::bench
