#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** What queries of one fan-out cost all daemons together. */
struct FanOutPoint
{
  std::uint32_t fanOut = 0;
  std::uint64_t queries = 0;
  /** Cores that all daemons together take while no query runs; left out of the next two. */
  double idleCores = 0.0;
  /** Processor time of asker and owners. */
  double cpuMicrosecondsPerQuery = 0.0;
  double cpuMicrosecondsPerPart = 0.0;
  double peerBytesPerQuery = 0.0;
  double p50Ms = 0.0;
  double p99Ms = 0.0;
  /** Most memory that one query holds is bounded by what all running ones add to the process. */
  double residentMiB = 0.0;
};

/** What one daemon spends on control while no query runs. */
struct ControlPoint
{
  std::uint32_t nodes = 0;
  std::uint32_t replicas = 0;
  double cpuPercentPerDaemon = 0.0;
  double bytesPerSecondPerDaemon = 0.0;
  double messagesPerSecondPerDaemon = 0.0;
  /** Growth of the process while the cluster starts, over the daemons; stand-ins included. */
  double residentMiBPerDaemon = 0.0;
  /** From a change in the store until every daemon has it in force. */
  double secondsUntilInForce = 0.0;
  double storeCallsPerSecond = 0.0;
};

/** What packing parts and merging hits costs, without any network. */
struct CodecPoint
{
  std::uint32_t fanOut = 0;
  double packMicrosecondsPerPart = 0.0;
  double unpackMicrosecondsPerPart = 0.0;
  double answerMicrosecondsPerPart = 0.0;
  double mergeMicrosecondsPerPart = 0.0;
  double bytesPerPart = 0.0;
};

/** Measures the cost of a query at fan-outs of 10, 40, 100 and 280. */
std::vector<FanOutPoint>
MeasureFanOut(std::uint64_t aSeed);

/** Measures the control cost of 4, 8, 16, 32 and 64 daemons over 48 replicas. */
std::vector<ControlPoint>
MeasureNodes(std::uint64_t aSeed);

/** Measures the control cost of 8 daemons over 24, 96, 192, 384 and 768 replicas. */
std::vector<ControlPoint>
MeasureReplicas(std::uint64_t aSeed);

/** Measures the codec between daemons and the merge at fan-outs of 10, 40, 100 and 280. */
std::vector<CodecPoint>
MeasureCodec(std::uint64_t aSeed);

/** Runs the measurement of that name and renders it. @return empty for an unknown name. */
std::string
RunSlope(const std::string& aName, std::uint64_t aSeed);

} // namespace skylarkwing::bench
