#pragma once

#include "bench/cluster_fixture.h"
#include "bench/load_driver.h"
#include "bench/load_result.h"
#include "bench/scenario.h"
#include "declaration/declaration.h"
#include "standin/store_standin.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace skylarkwing::bench {

/** How the entry processes serve queries. */
enum class Policy
{
  /** Skylarkwing daemons. */
  Standard,
  /** Naive processes, the baseline of the comparison. */
  Naive,
};

/** @return the name of a policy, as in options and reports. */
std::string_view
NameOf(Policy aPolicy);

/** Options of one run. */
struct ExperimentOptions
{
  declaration::Declaration declaration;
  Policy policy = Policy::Standard;
  Scenario scenario;
  /** Number of entry processes. */
  std::uint32_t nodes = 8;
  /** Multiplies the default load. */
  double rate = 1.0;
  std::uint64_t seed = 1;
  /** When set, the daemons' settings are written there and the daemons are started externally. */
  std::string externalFolder;
};

/** Result of one run. */
struct ExperimentResult
{
  /** Reason why the run failed to start; empty on success. */
  std::string error;
  std::string deployment;
  std::string scenario;
  Policy policy = Policy::Standard;
  std::uint64_t seed = 0;
  LoadResult load;
  standin::StoreCalls store;
};

/** Progress callback of a run. */
using ExperimentProgress =
  std::function<void(std::chrono::seconds aElapsed, const LoadResult& aSoFar)>;

/** @return the default query streams of a deployment, one for each profile. */
std::vector<LoadStream>
DefaultStreams(const declaration::Declaration& aDeclaration, double aRate);

/** Runs a scenario under a policy and waits for its end. */
ExperimentResult
RunExperiment(const ExperimentOptions& aOptions, const ExperimentProgress& aProgress);

} // namespace skylarkwing::bench
