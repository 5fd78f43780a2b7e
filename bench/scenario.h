#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::bench {

/** Action of one scenario event. */
enum class ScenarioAction
{
  /** Slows a share (`value`) of searches down by `factor`. */
  Stragglers,
  /** Restarts upstreams as new, cold processes. */
  Restart,
  /** Makes upstreams cold without announcing it. */
  TurnCold,
  /** Makes upstreams announce that they are draining. */
  Drain,
  /** Closes every connection of upstreams. */
  DropConnections,
  /** Stops upstreams abruptly. */
  Lose,
  /** Starts stopped upstreams again, cold. */
  Return,
  DomainOut,
  DomainBack,
  StoreDown,
  StoreUp,
  /** Delays each call to the store by `value` ms. */
  StoreSlow,
  /** Executes the next `count` writes to the store but drops their responses. */
  StoreLosesAnswers,
  /** Loads version `snapshot` with `count` shards per service on replica `replica`. */
  AddVersion,
  /** Drops version `snapshot` from replica `replica`. */
  RemoveVersion,
  /** Starts a new entry VM and gracefully shuts down VM number `node`. */
  ReplaceNode,
  /** Kills entry VM number `node`. */
  KillNode,
  /** Sends a request that crashes upstreams, `count` times. */
  Poison,
  /** Multiplies the load by `value`. */
  Rate,
};

/** @return the name of an action, as in scenario files. */
std::string_view
NameOf(ScenarioAction aAction);

/**
 * One event of a scenario. Targets are positions in the declaration, so that a scenario runs on
 * every deployment; an absent target selects all.
 */
struct ScenarioEvent
{
  /** Time, as a share of the run, 0 to 1. */
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

/** Faults and changes during one run. */
struct Scenario
{
  std::string name;
  std::string description;
  std::chrono::seconds length{ 20 };
  /** Multiplies the default load. */
  double rate = 1.0;
  /** Median duration of a search at the upstreams. */
  std::chrono::milliseconds serviceTime{ 8 };
  /** Ordered by time. */
  std::vector<ScenarioEvent> events;
};

/** A scenario, or the reason why it cannot be read. */
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

/** @return the built-in scenario of `skylarkwing demo`. */
Scenario
DemoScenario();

} // namespace skylarkwing::bench
