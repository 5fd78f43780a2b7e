#pragma once

#include "core/random_source.h"
#include "query/request_run.h"
#include "store/tests/virtual_loop.h"
#include "upstream/replica_balancer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::query::tests {

/** One simulated replica with a queue, slots, pauses and network latency. */
struct SimulatedReplica
{
  core::Duration roundTrip{};
  /** Typical time of one request. */
  core::Duration work{};
  std::size_t slots = 2;
  std::size_t queue = 12;
  /** It pauses for `pause` once in each `pauseEvery`; zero means never. */
  core::Duration pauseEvery{};
  core::Duration pause{};
  core::Duration pauseOffset{};
  /** Accepts no connections and loses the open ones. */
  bool isDown = false;
  /** Its process has ended: connections are closed at once, and new ones are refused. */
  bool hasEnded = false;
  /** Number of ends of its process; a connection lasts as long as the process. */
  std::uint32_t processEnds = 0;
  /** Its process ends when it begins to run a request with this target; empty for none. */
  std::string fatalTarget;
  /** How long its process is gone after such a request. */
  core::Duration fatalDownTime = std::chrono::seconds{ 3 };
  /** When requests with that target arrived. */
  std::vector<core::TimePoint> fatalArrivals;
  /** Another replica uses its address. */
  bool isAnotherReplica = false;
  /** Share of its requests that it refuses, and share of its answers that are lost. */
  double shedShare = 0.0;
  double lostAnswerShare = 0.0;
  /** Announces in every answer that it is leaving. */
  bool isLeaving = false;
  /** It names this limit on its requests per second in every answer. */
  std::optional<double> maxRate;
  /** How long its work takes at a time, 1 as usual; null means as usual. */
  std::function<double(core::TimePoint)> slowdown;
  /** Whether its answers report that. */
  bool reportsSlowdown = true;
  /** It refuses every request and requests this backoff; zero means it does not. */
  core::Duration backoff{};
  std::vector<core::TimePoint> slotFreeAt;
  /** End times of the queued and running requests. */
  std::vector<core::TimePoint> ends;
  std::uint32_t arrivals = 0;
  std::vector<core::TimePoint> arrivalTimes;
  /** Arrivals from daemons that it had told a limit half a second before or earlier. */
  std::vector<core::TimePoint> informedArrivals;
  /** When it first told each daemon a limit, by VM. */
  std::map<std::string, core::TimePoint> toldAt;
  std::uint32_t shed = 0;
  std::uint32_t connections = 0;

  /** Ends its process. */
  void End();

  /** Records an arrival from a daemon. */
  void RecordArrival(const std::string& aVm, core::TimePoint aNow);

  /** @return the load that an answer sent at a time reports. */
  upstream::LoadReport LoadAt(core::TimePoint aNow) const;

  /** @return the time at which an arriving request ends, nothing when it is shed. */
  std::optional<core::TimePoint> Accept(core::TimePoint aNow, core::Duration aWork);
};

/**
 * @param aTimes in ascending order.
 * @return the greatest number of times in any span of a length, of those that begin at or after a
 *         time.
 */
std::size_t
MostInSpan(const std::vector<core::TimePoint>& aTimes, core::TimePoint aFrom, core::Duration aSpan);

/** Results of a simulated load. */
struct LoadOutcome
{
  std::size_t requests = 0;
  std::size_t complete = 0;
  std::size_t partial = 0;
  std::size_t inTime = 0;
  std::size_t notRun = 0;
  std::size_t failed = 0;
  std::size_t attempts = 0;
  /** Retry delays given to refused callers, and the time of the slowest refusal. */
  std::vector<core::Duration> retryDelays;
  core::Duration longestRefusalTime{};
};

/** Daemons with simulated replicas in virtual time. */
class ReplicaSimulation
{
public:
  ReplicaSimulation();
  ~ReplicaSimulation();
  ReplicaSimulation(const ReplicaSimulation&) = delete;
  ReplicaSimulation& operator=(const ReplicaSimulation&) = delete;

  store::VirtualLoop loop;
  core::RandomSource random{ 20261204 };
  std::shared_ptr<declaration::RoutingTable> table = std::make_shared<declaration::RoutingTable>();
  std::map<std::string, SimulatedReplica> replicas;
  std::unique_ptr<upstream::ReplicaBalancer> set;
  /** Further daemons of the fleet; see AddDaemons(). */
  std::vector<std::unique_ptr<upstream::ReplicaBalancer>> others;

  /** @return the weights of a fleet of equal daemons. */
  static upstream::FleetWeights EqualWeights(std::size_t aDaemons);

  /** Adds daemons up to a number, which all know each other; before any service. */
  void AddDaemons(std::size_t aNumber);

  /** @return the daemon with a number, of which 0 is `set`. */
  upstream::ReplicaBalancer& Daemon(std::size_t aNumber);

  /**
   * Adds a service of three replicas, one nearby and two in other regions.
   *
   * @return the name of the service.
   */
  std::string AddService(std::size_t aNumber, const SimulatedReplica& aReplica);

  /** @return a route over the first services that were added, one per shard. */
  static declaration::Route MakeRoute(std::size_t aShards,
                                      std::size_t aLeast,
                                      core::Duration aObjective);

  /** Activates the route and sends requests at a constant rate, to all daemons in turn. */
  LoadOutcome RunLoad(const declaration::Route& aRoute, double aPerSecond, core::Duration aSpan);

private:
  std::uint64_t mLastId = 0;

  std::unique_ptr<upstream::ReplicaBalancer> MakeDaemon(const std::string& aVm);
};

} // namespace skylarkwing::query::tests
