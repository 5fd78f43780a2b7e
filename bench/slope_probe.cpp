#include "bench/slope_probe.h"

#include "bench/cluster_fixture.h"
#include "bench/daemon_node.h"
#include "bench/load_run.h"
#include "bench/metrics_scrape.h"
#include "core/random_source.h"
#include "query/hit_merge.h"
#include "upstream/upstream_messages.h"

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <thread>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace skylarkwing::bench {

namespace {

using std::chrono::nanoseconds;
using Clock = std::chrono::steady_clock;

constexpr std::array kFanOuts{ 10U, 40U, 100U, 280U };
constexpr double kPartsPerSecond = 3000.0;
/** Measurement period for the cost of idle daemons, before the load. */
constexpr std::chrono::seconds kIdlePeriod{ 4 };
constexpr std::chrono::milliseconds kWarmUpPeriod{ 8000 };
constexpr std::chrono::milliseconds kMeasurementPeriod{ 10000 };
constexpr double kMebibyte = 1024.0 * 1024.0;
constexpr std::size_t kMaxHits = 1000;

double
Seconds(Clock::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
Microseconds(nanoseconds aDuration)
{
  return std::chrono::duration<double, std::micro>(aDuration).count();
}

nanoseconds
ToNanoseconds(const timeval& aTime)
{
  return std::chrono::seconds{ aTime.tv_sec } + std::chrono::microseconds{ aTime.tv_usec };
}

/** @return the CPU time of the whole process. */
nanoseconds
ProcessCpuTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToNanoseconds(usage.ru_utime) + ToNanoseconds(usage.ru_stime);
}

double
ResidentMiB()
{
  std::ifstream statm("/proc/self/statm");
  double pages = 0.0;
  double resident = 0.0;
  statm >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMebibyte;
}

/** @return one index of `aServices` services, each with a replica in all three failure domains. */
declaration::Declaration
SyntheticDeclaration(std::uint32_t aServices)
{
  declaration::Declaration declaration;
  declaration.deployment = "synthetic";
  declaration::IndexDeclaration index;
  index.name = "synthetic";
  index.limits.slots = 8;
  index.limits.coldSlots = 2;
  index.limits.connections = 64;
  for (const char* domain : { "a", "b", "c" }) {
    declaration.failureDomains.push_back({ domain, domain, false, "" });
  }
  for (std::uint32_t n = 0; n < aServices; ++n) {
    declaration::ServiceDeclaration service;
    service.name = "s-" + std::to_string(n);
    for (const auto& domain : declaration.failureDomains) {
      service.replicas.push_back(
        { service.name + "-" + domain.name, "127.0.0.1:" + std::to_string(n + 1), domain.name });
    }
    index.services.push_back(std::move(service));
  }
  declaration.indexes.push_back(std::move(index));
  declaration::ProfileDeclaration profile;
  profile.name = "lookup";
  profile.indexes = { "synthetic" };
  profile.concurrency = 10'000;
  profile.defaultDeadline = std::chrono::milliseconds{ 2000 };
  declaration.profiles.push_back(std::move(profile));
  return declaration;
}

std::unique_ptr<ClusterFixture>
MakeCluster(std::uint32_t aServices, std::uint32_t aNodes, std::uint64_t aSeed)
{
  ClusterOptions options;
  options.declaration = SyntheticDeclaration(aServices);
  options.nodes = aNodes;
  options.seed = aSeed;
  return std::make_unique<ClusterFixture>(
    options,
    [](const NodePlace& aPlace, const declaration::Declaration&, const std::vector<NodePlace>&)
      -> std::unique_ptr<EntryNode> { return std::make_unique<DaemonNode>(aPlace); });
}

LoadOptions
MakeLoad(const ClusterFixture& aCluster,
         double aRate,
         std::chrono::milliseconds aLength,
         std::uint64_t aSeed)
{
  LoadOptions options;
  options.seeds = aCluster.CallerAddresses();
  options.streams = {
    { "lookup", "synthetic", true, std::chrono::milliseconds{ 2000 }, aRate },
  };
  options.length = aLength;
  options.seed = aSeed;
  return options;
}

FanOutPoint
MeasureFanOutAt(std::uint32_t aFanOut, std::uint64_t aSeed)
{
  constexpr std::uint32_t kNodes = 4;
  FanOutPoint point;
  point.fanOut = aFanOut;
  const auto cluster = MakeCluster(aFanOut, kNodes, aSeed);
  if (!cluster->Start()) {
    return point;
  }
  const double rate = kPartsPerSecond / aFanOut;
  LoadRun(*cluster, MakeLoad(*cluster, rate, kWarmUpPeriod, aSeed + 1)).Finish();
  const nanoseconds idleBefore = ProcessCpuTime() - cluster->StandinCpuTime();
  std::this_thread::sleep_for(kIdlePeriod);
  const nanoseconds idle = ProcessCpuTime() - cluster->StandinCpuTime() - idleBefore;
  point.idleCores = Microseconds(idle) / Microseconds(kIdlePeriod);
  const double bytesBefore = SumMetric(*cluster, "skylarkwing_net_peer_sent_bytes_total");
  const nanoseconds cpuBefore = ProcessCpuTime() - cluster->StandinCpuTime();
  const auto begin = Clock::now();
  LoadRun run(*cluster, MakeLoad(*cluster, rate, kMeasurementPeriod, aSeed));
  const LoadResult result = run.Finish();
  const nanoseconds cpuTime =
    ProcessCpuTime() - cluster->StandinCpuTime() - run.Thread().CpuTime() - cpuBefore;
  const double cpu = Microseconds(cpuTime) - point.idleCores * 1e6 * Seconds(Clock::now() - begin);
  const double bytes = SumMetric(*cluster, "skylarkwing_net_peer_sent_bytes_total") - bytesBefore;
  const auto queries = static_cast<double>(std::max<std::uint64_t>(result.answered, 1));
  point.queries = result.answered;
  point.cpuMicrosecondsPerQuery = cpu / queries;
  point.cpuMicrosecondsPerPart = point.cpuMicrosecondsPerQuery / aFanOut;
  point.peerBytesPerQuery = bytes / queries;
  point.p50Ms = result.LatencyMs(0.5);
  point.p99Ms = result.LatencyMs(0.99);
  point.residentMiB = ResidentMiB();
  return point;
}

double
SecondsUntilInForce(ClusterFixture& aCluster)
{
  constexpr std::chrono::seconds kTimeout{ 20 };
  const std::uint64_t before = aCluster.LowestGeneration();
  const auto begin = Clock::now();
  aCluster.SetDomainOut("c", true, "measurement");
  while (aCluster.LowestGeneration() <= before && Clock::now() - begin < kTimeout) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 2 });
  }
  return Seconds(Clock::now() - begin);
}

ControlPoint
MeasureControlAt(std::uint32_t aServices, std::uint32_t aNodes, std::uint64_t aSeed)
{
  constexpr double kPercent = 100.0;
  ControlPoint point;
  point.nodes = aNodes;
  point.replicas = aServices * 3;
  const double residentBefore = ResidentMiB();
  const auto cluster = MakeCluster(aServices, aNodes, aSeed);
  if (!cluster->Start()) {
    return point;
  }
  std::this_thread::sleep_for(kWarmUpPeriod);
  const double bytesBefore = SumMetric(*cluster, "skylarkwing_net_peer_sent_bytes_total");
  const double messagesBefore = SumMetric(*cluster, "skylarkwing_net_peer_sent_messages_total");
  const standin::StoreCalls callsBefore = cluster->StoreCalls();
  const nanoseconds cpuBefore = ProcessCpuTime() - cluster->StandinCpuTime();
  const auto begin = Clock::now();
  std::this_thread::sleep_for(kMeasurementPeriod);
  const double span = Seconds(Clock::now() - begin);
  const nanoseconds cpu = ProcessCpuTime() - cluster->StandinCpuTime() - cpuBefore;
  const standin::StoreCalls calls = cluster->StoreCalls();
  const double perDaemon = span * aNodes;
  point.cpuPercentPerDaemon = kPercent * Microseconds(cpu) / 1e6 / perDaemon;
  point.bytesPerSecondPerDaemon =
    (SumMetric(*cluster, "skylarkwing_net_peer_sent_bytes_total") - bytesBefore) / perDaemon;
  point.messagesPerSecondPerDaemon =
    (SumMetric(*cluster, "skylarkwing_net_peer_sent_messages_total") - messagesBefore) / perDaemon;
  const std::uint64_t callCount =
    calls.reads + calls.writes + calls.leaseGrants + calls.leaseKeepAlives;
  const std::uint64_t callCountBefore =
    callsBefore.reads + callsBefore.writes + callsBefore.leaseGrants + callsBefore.leaseKeepAlives;
  point.storeCallsPerSecond = static_cast<double>(callCount - callCountBefore) / span;
  point.residentMiBPerDaemon = (ResidentMiB() - residentBefore) / aNodes;
  point.secondsUntilInForce = SecondsUntilInForce(*cluster);
  return point;
}

std::vector<upstream::PartRequest>
MakeParts(std::uint32_t aFanOut)
{
  std::vector<upstream::PartRequest> parts;
  for (std::uint32_t shard = 0; shard < aFanOut; ++shard) {
    upstream::PartRequest part;
    part.partId = "vm-1.0123456789abcdef." + std::to_string(shard);
    part.index = "synthetic";
    part.shard = shard;
    part.snapshot = 7;
    part.replica = "s-" + std::to_string(shard) + "-a";
    part.search = R"({"kind":"kind-3","size":1000})";
    parts.push_back(std::move(part));
  }
  return parts;
}

upstream::PartAnswer
MakeAnswer(std::uint32_t aShard, core::RandomSource& aRandom)
{
  constexpr int kHits = 2;
  upstream::PartAnswer answer;
  answer.partId = "vm-1.0123456789abcdef." + std::to_string(aShard);
  answer.status = upstream::PartStatus::Answered;
  answer.snapshot = 7;
  answer.shard = aShard;
  answer.isComplete = true;
  for (int n = 0; n < kHits; ++n) {
    answer.hits.push_back({ "synthetic/7/" + std::to_string(aShard) + "/" + std::to_string(n),
                            aRandom.Fraction(),
                            R"({"kind":"kind-3"})" });
  }
  return answer;
}

/** @return the mean CPU time of one call, in microseconds. */
double
MeanCpuMicroseconds(const std::function<void()>& aFunction)
{
  constexpr int kRounds = 200;
  const nanoseconds before = ProcessCpuTime();
  for (int n = 0; n < kRounds; ++n) {
    aFunction();
  }
  return Microseconds(ProcessCpuTime() - before) / kRounds;
}

CodecPoint
MeasureCodecAt(std::uint32_t aFanOut, std::uint64_t aSeed)
{
  using nlohmann::json;
  const core::TimePoint now{};
  core::RandomSource random(aSeed);
  const std::vector<upstream::PartRequest> parts = MakeParts(aFanOut);
  std::vector<upstream::PartAnswer> answers;
  std::vector<upstream::Hit> hits;
  for (std::uint32_t shard = 0; shard < aFanOut; ++shard) {
    answers.push_back(MakeAnswer(shard, random));
    hits.insert(hits.end(), answers.back().hits.begin(), answers.back().hits.end());
  }
  const std::vector<std::uint8_t> packed = json::to_msgpack(upstream::PackParts(parts, now));
  CodecPoint point;
  point.fanOut = aFanOut;
  point.bytesPerPart = static_cast<double>(packed.size()) / aFanOut;
  point.packMicrosecondsPerPart =
    MeanCpuMicroseconds([&] { json::to_msgpack(upstream::PackParts(parts, now)); }) / aFanOut;
  point.unpackMicrosecondsPerPart =
    MeanCpuMicroseconds([&] { upstream::UnpackParts(json::from_msgpack(packed), now, {}); }) /
    aFanOut;
  point.answerMicrosecondsPerPart = MeanCpuMicroseconds([&] {
                                      for (const upstream::PartAnswer& answer : answers) {
                                        const auto bytes = json::to_msgpack(json(answer));
                                        json::from_msgpack(bytes).get<upstream::PartAnswer>();
                                      }
                                    }) /
                                    aFanOut;
  point.mergeMicrosecondsPerPart =
    MeanCpuMicroseconds([&] { query::MergeHits(hits, kMaxHits); }) / aFanOut;
  return point;
}

template<typename Point>
std::string
Render(const std::vector<Point>& aPoints,
       const std::vector<std::pair<std::string, std::function<double(const Point&)>>>& aColumns)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  for (const auto& [name, value] : aColumns) {
    out << std::setw(static_cast<int>(name.size())) << name << "  ";
  }
  out << '\n';
  for (const Point& point : aPoints) {
    for (const auto& [name, value] : aColumns) {
      out << std::setw(static_cast<int>(name.size())) << value(point) << "  ";
    }
    out << '\n';
  }
  return out.str();
}

std::string
RenderControl(const std::vector<ControlPoint>& aPoints)
{
  using P = ControlPoint;
  return Render<P>(
    aPoints,
    { { "daemons", [](const P& aPoint) { return aPoint.nodes; } },
      { "replicas", [](const P& aPoint) { return aPoint.replicas; } },
      { "cpu_pct", [](const P& aPoint) { return aPoint.cpuPercentPerDaemon; } },
      { "bytes_per_s", [](const P& aPoint) { return aPoint.bytesPerSecondPerDaemon; } },
      { "msgs_per_s", [](const P& aPoint) { return aPoint.messagesPerSecondPerDaemon; } },
      { "resident_mib", [](const P& aPoint) { return aPoint.residentMiBPerDaemon; } },
      { "in_force_s", [](const P& aPoint) { return aPoint.secondsUntilInForce; } },
      { "store_calls_per_s", [](const P& aPoint) { return aPoint.storeCallsPerSecond; } } });
}

std::string
RenderFanOut(const std::vector<FanOutPoint>& aPoints)
{
  using P = FanOutPoint;
  return Render<P>(
    aPoints,
    { { "fan_out", [](const P& aPoint) { return aPoint.fanOut; } },
      { "queries", [](const P& aPoint) { return static_cast<double>(aPoint.queries); } },
      { "cpu_us_per_query", [](const P& aPoint) { return aPoint.cpuMicrosecondsPerQuery; } },
      { "cpu_us_per_part", [](const P& aPoint) { return aPoint.cpuMicrosecondsPerPart; } },
      { "idle_cores", [](const P& aPoint) { return aPoint.idleCores; } },
      { "peer_bytes_per_query", [](const P& aPoint) { return aPoint.peerBytesPerQuery; } },
      { "p50_ms", [](const P& aPoint) { return aPoint.p50Ms; } },
      { "p99_ms", [](const P& aPoint) { return aPoint.p99Ms; } },
      { "resident_mib", [](const P& aPoint) { return aPoint.residentMiB; } } });
}

std::string
RenderCodec(const std::vector<CodecPoint>& aPoints)
{
  using P = CodecPoint;
  return Render<P>(
    aPoints,
    { { "fan_out", [](const P& aPoint) { return aPoint.fanOut; } },
      { "pack_us", [](const P& aPoint) { return aPoint.packMicrosecondsPerPart; } },
      { "unpack_us", [](const P& aPoint) { return aPoint.unpackMicrosecondsPerPart; } },
      { "answer_us", [](const P& aPoint) { return aPoint.answerMicrosecondsPerPart; } },
      { "merge_us", [](const P& aPoint) { return aPoint.mergeMicrosecondsPerPart; } },
      { "bytes", [](const P& aPoint) { return aPoint.bytesPerPart; } } });
}

} // namespace

std::vector<FanOutPoint>
MeasureFanOut(std::uint64_t aSeed)
{
  std::vector<FanOutPoint> points;
  points.reserve(kFanOuts.size());
  for (const std::uint32_t fanOut : kFanOuts) {
    points.push_back(MeasureFanOutAt(fanOut, aSeed));
  }
  return points;
}

std::vector<ControlPoint>
MeasureNodes(std::uint64_t aSeed)
{
  constexpr std::uint32_t kServices = 16;
  constexpr std::array kNodes{ 4U, 8U, 16U, 32U, 64U };
  std::vector<ControlPoint> points;
  points.reserve(kNodes.size());
  for (const std::uint32_t nodes : kNodes) {
    points.push_back(MeasureControlAt(kServices, nodes, aSeed));
  }
  return points;
}

std::vector<ControlPoint>
MeasureReplicas(std::uint64_t aSeed)
{
  constexpr std::uint32_t kNodes = 8;
  constexpr std::array kServices{ 8U, 32U, 64U, 128U, 256U };
  std::vector<ControlPoint> points;
  points.reserve(kServices.size());
  for (const std::uint32_t services : kServices) {
    points.push_back(MeasureControlAt(services, kNodes, aSeed));
  }
  return points;
}

std::vector<CodecPoint>
MeasureCodec(std::uint64_t aSeed)
{
  std::vector<CodecPoint> points;
  points.reserve(kFanOuts.size());
  for (const std::uint32_t fanOut : kFanOuts) {
    points.push_back(MeasureCodecAt(fanOut, aSeed));
  }
  return points;
}

std::string
RunSlope(const std::string& aName, std::uint64_t aSeed)
{
  if (aName == "fan-out") {
    return RenderFanOut(MeasureFanOut(aSeed));
  }
  if (aName == "daemons") {
    return RenderControl(MeasureNodes(aSeed));
  }
  if (aName == "replicas") {
    return RenderControl(MeasureReplicas(aSeed));
  }
  if (aName == "codec") {
    return RenderCodec(MeasureCodec(aSeed));
  }
  return {};
}

} // namespace skylarkwing::bench
