#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** Cost of queries of one fan-out, summed over all daemons. */
struct FanOutPoint
{
  std::uint32_t fanOut = 0;
  std::uint64_t queries = 0;
  /** Cores that all daemons use while no query runs; subtracted from the next two. */
  double idleCores = 0.0;
  /** CPU time of all daemons that take part in the query. */
  double cpuMicrosecondsPerQuery = 0.0;
  double cpuMicrosecondsPerPart = 0.0;
  double peerBytesPerQuery = 0.0;
  double p50Ms = 0.0;
  double p99Ms = 0.0;
  /** Resident memory of the process; an upper bound for what running queries hold. */
  double residentMiB = 0.0;
};

/** Cost of the control plane of one daemon while no query runs. */
struct ControlPoint
{
  std::uint32_t nodes = 0;
  std::uint32_t replicas = 0;
  double cpuPercentPerDaemon = 0.0;
  double bytesPerSecondPerDaemon = 0.0;
  double messagesPerSecondPerDaemon = 0.0;
  /** Growth of the process at the start of the cluster per daemon, stand-ins included. */
  double residentMiBPerDaemon = 0.0;
  /** Time from a change in the store until it is in force at every daemon. */
  double secondsUntilInForce = 0.0;
  double storeCallsPerSecond = 0.0;
};

/** CPU time of encoding parts and merging hits, without network. */
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

/** Measures the control plane cost of 4, 8, 16, 32 and 64 daemons over 48 replicas. */
std::vector<ControlPoint>
MeasureNodes(std::uint64_t aSeed);

/** Measures the control plane cost of 8 daemons over 24, 96, 192, 384 and 768 replicas. */
std::vector<ControlPoint>
MeasureReplicas(std::uint64_t aSeed);

/** Measures the peer codec and the merge of hits at fan-outs of 10, 40, 100 and 280. */
std::vector<CodecPoint>
MeasureCodec(std::uint64_t aSeed);

/** Runs a measurement by name. @return the results as a table, empty for an unknown name. */
std::string
RunSlope(const std::string& aName, std::uint64_t aSeed);

} // namespace skylarkwing::bench
