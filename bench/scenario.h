#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::bench {

/** What one step of a scenario does. */
enum class ScenarioAction
{
  /** Makes a share (`value`) of searches slow by a factor (`factor`). */
  Stragglers,
  /** Restarts upstreams: new processes, cold. */
  Restart,
  /** Makes upstreams cold without any sign. */
  TurnCold,
  /** Lets upstreams announce that they leave. */
  Drain,
  /** Closes every connection of upstreams. */
  DropConnections,
  /** Ends upstreams, and the entry processes of the domain when only a domain is named. */
  Lose,
  /** Starts lost upstreams again, cold. */
  Return,
  DomainOut,
  DomainBack,
  StoreDown,
  StoreUp,
  /** Lets each call to the store wait for `value` ms. */
  StoreSlow,
  /** Carries out the next `count` writes to the store and loses their answers. */
  StoreLosesAnswers,
  /** Puts version `snapshot` with `count` shards for each service on replica `replica`. */
  AddVersion,
  /** Drops version `snapshot` from replica `replica`. */
  RemoveVersion,
  /** Starts a new entry VM and shuts down VM number `node` gracefully. */
  ReplaceNode,
  /** Ends entry VM number `node` at once. */
  KillNode,
  /** Sends a request `count` times that crashes upstreams. */
  Poison,
  /** Multiplies the load by `value`. */
  Rate,
};

/** @return the name of an action, as scenario files spell it. */
std::string_view
NameOf(ScenarioAction aAction);

/** One step of a scenario. Targets are numbers in the order of the declaration, so that a scenario
 * runs on every deployment; those that are absent take all. */
struct ScenarioEvent
{
  /** When, as a share of the run, 0 to 1. */
  double at = 0.0;
  ScenarioAction action = ScenarioAction::Rate;
  std::optional<std::uint32_t> index;
  std::optional<std::uint32_t> service;
  std::optional<std::uint32_t> replica;
  std::optional<std::uint32_t> domain;
  std::uint32_t node = 0;
  double value = 0.0;
  double factor = 10.0;
  std::uint32_t count = 1;
  std::uint64_t snapshot = 2;
};

/** Faults and changes over one run. */
struct Scenario
{
  std::string name;
  std::string description;
  std::chrono::seconds length{ 20 };
  /** Multiplies the usual load. */
  double rate = 1.0;
  /** Median time of a search at the upstreams. */
  std::chrono::milliseconds serviceTime{ 8 };
  /** In order of time. */
  std::vector<ScenarioEvent> events;
};

/** A scenario, or why a file is none. */
struct ScenarioResult
{
  std::optional<Scenario> scenario;
  std::string error;
};

/** Reads a scenario from JSON text. */
ScenarioResult
ParseScenario(std::string_view aText);

/** Reads a scenario from a file. */
ScenarioResult
LoadScenario(const std::string& aPath);

/** @return the scenario of the demonstration, which needs no file. */
Scenario
DemoScenario();

} // namespace skylarkwing::bench
