#pragma once

#include "core/random_source.h"
#include "query/request_run.h"
#include "store/tests/virtual_loop.h"
#include "upstream/replica_balancer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::query::tests {

/** A model of one replica: a queue before some slots, pauses, and the way to it. */
struct ReplicaModel
{
  core::Duration way{};
  core::Duration work{};
  std::size_t slots = 2;
  std::size_t queue = 12;
  /** It answers nothing for `pause` once in each `pauseEvery`; zero means never. */
  core::Duration pauseEvery{};
  core::Duration pause{};
  core::Duration pauseOffset{};
  /** Takes no connection, and loses those that are open. */
  bool isDown = false;
  /** Another replica has its address now. */
  bool isElsewhere = false;
  /** Share of its requests that it turns away, and share of its answers that are lost. */
  double shedShare = 0.0;
  double loseShare = 0.0;
  /** Says in all its answers that it leaves. */
  bool isLeaving = false;
  /** Turns every request away and wants no other for so long; zero means it doesn't. */
  core::Duration rest{};
  std::vector<core::TimePoint> slotFreeAt;
  /** When what waits or runs will be answered. */
  std::vector<core::TimePoint> ends;
  std::uint32_t arrivals = 0;
  std::uint32_t shed = 0;
  std::uint32_t connections = 0;

  /** @return when a request that arrives now is done; nothing when it is shed. */
  std::optional<core::TimePoint> Accept(core::TimePoint aNow, core::Duration aWork);
};

/** What callers got of a load. */
struct LoadOutcome
{
  std::size_t asked = 0;
  std::size_t complete = 0;
  std::size_t partial = 0;
  std::size_t inTime = 0;
  std::size_t notRun = 0;
  std::size_t failed = 0;
  std::size_t attempts = 0;
  /** What refused callers were told, and how long the slowest refusal took. */
  std::vector<core::Duration> retryAfters;
  core::Duration longestRefusal{};
};

/** One daemon before model replicas under virtual time. */
class ReplicaWorld
{
public:
  ReplicaWorld();
  ~ReplicaWorld();
  ReplicaWorld(const ReplicaWorld&) = delete;
  ReplicaWorld& operator=(const ReplicaWorld&) = delete;

  store::VirtualLoop loop;
  core::RandomSource random{ 20261204 };
  std::shared_ptr<declaration::RoutingTable> table = std::make_shared<declaration::RoutingTable>();
  std::map<std::string, ReplicaModel> replicas;
  std::unique_ptr<upstream::ReplicaBalancer> set;

  /**
   * Adds a service of three replicas, one near and two in other regions.
   *
   * @return its name.
   */
  std::string AddService(std::size_t aNumber, const ReplicaModel& aModel);

  /** @return a query over so many services that were added. */
  static declaration::Route MakeRoute(std::size_t aShards,
                                      std::size_t aLeast,
                                      core::Duration aObjective);

  /** Puts the route in force and plays requests at an even rate. */
  LoadOutcome Play(const declaration::Route& aRoute, double aPerSecond, core::Duration aSpan);

private:
  std::uint64_t mLastId = 0;
};

} // namespace skylarkwing::query::tests
