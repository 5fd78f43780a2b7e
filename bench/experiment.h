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
  /** The daemons of this project. */
  Standard,
  /** The naive processes that they are compared with. */
  Naive,
};

/** @return the name of a policy, for options and reports. */
std::string_view
NameOf(Policy aPolicy);

/** One run. */
struct ExperimentOptions
{
  declaration::Declaration declaration;
  Policy policy = Policy::Standard;
  Scenario scenario;
  std::uint32_t nodes = 8;
  /** Multiplies the usual load. */
  double rate = 1.0;
  std::uint64_t seed = 1;
  /** When set, settings of the daemons are written there, and somebody else starts them. */
  std::string externalFolder;
};

/** What one run gave. */
struct ExperimentResult
{
  /** Why nothing ran; empty when it ran. */
  std::string error;
  std::string deployment;
  std::string scenario;
  Policy policy = Policy::Standard;
  std::uint64_t seed = 0;
  LoadResult load;
  standin::StoreCalls store;
};

/** Hears how far a run is. */
using ExperimentProgress =
  std::function<void(std::chrono::seconds aElapsed, const LoadResult& aSoFar)>;

/** @return the usual streams of queries of a deployment: some for each profile. */
std::vector<LoadStream>
UsualStreams(const declaration::Declaration& aDeclaration, double aRate);

/** Runs a scenario under a policy; it ends by itself. */
ExperimentResult
RunExperiment(const ExperimentOptions& aOptions, const ExperimentProgress& aProgress);

} // namespace skylarkwing::bench
