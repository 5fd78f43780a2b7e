#include "bench/scenario.h"

#include "core/name_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

constexpr core::NameTable<ScenarioAction, 19> kActionNames{ { "stragglers",
                                                              "restart",
                                                              "turn_cold",
                                                              "drain",
                                                              "drop_connections",
                                                              "lose",
                                                              "return",
                                                              "domain_out",
                                                              "domain_back",
                                                              "store_down",
                                                              "store_up",
                                                              "store_slow",
                                                              "store_loses_answers",
                                                              "add_version",
                                                              "remove_version",
                                                              "replace_node",
                                                              "kill_node",
                                                              "poison",
                                                              "rate" } };

const std::set<std::string> kScenarioKeys{ "name", "description",   "seconds",
                                           "rate", "serviceTimeMs", "events" };
const std::set<std::string> kEventKeys{ "at",   "action", "index",  "service", "replica", "domain",
                                        "node", "value",  "factor", "count",   "snapshot" };

/** @return the first unknown member, or nothing. */
std::optional<std::string>
UnknownKey(const json& aObject, const std::set<std::string>& aKnown)
{
  for (const auto& [key, value] : aObject.items()) {
    if (!aKnown.contains(key)) {
      return key;
    }
  }
  return std::nullopt;
}

template<typename T>
std::optional<T>
Optional(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  return it == aObject.end() ? std::nullopt : std::optional<T>(it->get<T>());
}

/** @throw json::exception when a member is of the wrong type. */
std::optional<ScenarioEvent>
ReadEvent(const json& aObject, std::string& aError)
{
  if (const auto unknown = UnknownKey(aObject, kEventKeys)) {
    aError = "unknown key " + *unknown;
    return std::nullopt;
  }
  const std::string name = aObject.at("action").get<std::string>();
  const auto action = kActionNames.ValueOf(name);
  if (!action) {
    aError = "unknown action " + name;
    return std::nullopt;
  }
  ScenarioEvent event;
  event.action = *action;
  event.at = aObject.at("at").get<double>();
  event.index = Optional<std::uint32_t>(aObject, "index");
  event.service = Optional<std::uint32_t>(aObject, "service");
  event.replica = Optional<std::uint32_t>(aObject, "replica");
  event.domain = Optional<std::uint32_t>(aObject, "domain");
  event.node = aObject.value("node", event.node);
  event.value = aObject.value("value", event.value);
  event.factor = aObject.value("factor", event.factor);
  event.count = aObject.value("count", event.count);
  event.snapshot = aObject.value("snapshot", event.snapshot);
  return event;
}

/** @throw json::exception when a member is missing or of the wrong type. */
ScenarioResult
ReadScenario(const json& aObject)
{
  if (const auto unknown = UnknownKey(aObject, kScenarioKeys)) {
    return { std::nullopt, "unknown key " + *unknown };
  }
  Scenario scenario;
  scenario.name = aObject.at("name").get<std::string>();
  scenario.description = aObject.value("description", std::string());
  scenario.length = std::chrono::seconds{ aObject.value("seconds", scenario.length.count()) };
  scenario.rate = aObject.value("rate", scenario.rate);
  scenario.serviceTime =
    std::chrono::milliseconds{ aObject.value("serviceTimeMs", scenario.serviceTime.count()) };
  for (const json& entry : aObject.at("events")) {
    std::string error;
    const auto event = ReadEvent(entry, error);
    if (!event) {
      const std::size_t n = scenario.events.size();
      return { std::nullopt, "/events/" + std::to_string(n) + ": " + error };
    }
    scenario.events.push_back(*event);
  }
  std::stable_sort(
    scenario.events.begin(),
    scenario.events.end(),
    [](const ScenarioEvent& aLeft, const ScenarioEvent& aRight) { return aLeft.at < aRight.at; });
  return { scenario, {} };
}

ScenarioEvent
At(double aShare, ScenarioAction aAction)
{
  ScenarioEvent event;
  event.at = aShare;
  event.action = aAction;
  return event;
}

} // namespace

std::string_view
NameOf(ScenarioAction aAction)
{
  return kActionNames.NameOf(aAction);
}

ScenarioResult
ParseScenario(std::string_view aText)
{
  const json object = json::parse(aText, nullptr, false);
  if (!object.is_object()) {
    return { std::nullopt, "not a JSON object" };
  }
  try {
    return ReadScenario(object);
  } catch (const json::exception& error) {
    return { std::nullopt, error.what() };
  }
}

ScenarioResult
LoadScenario(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return { std::nullopt, aPath + ": cannot open the file" };
  }
  const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  ScenarioResult result = ParseScenario(text);
  if (!result.scenario) {
    result.error = aPath + ": " + result.error;
  }
  return result;
}

Scenario
DemoScenario()
{
  Scenario scenario;
  scenario.name = "demo";
  scenario.description =
    "an upstream restart, a failure domain out and back, a request that crashes upstreams";
  ScenarioEvent restart = At(0.1, ScenarioAction::Restart);
  restart.index = 0;
  restart.service = 0;
  restart.replica = 0;
  ScenarioEvent out = At(0.25, ScenarioAction::DomainOut);
  out.domain = 1;
  ScenarioEvent back = At(0.6, ScenarioAction::DomainBack);
  back.domain = 1;
  ScenarioEvent poison = At(0.75, ScenarioAction::Poison);
  poison.index = 0;
  poison.count = 4;
  scenario.events = { restart, out, back, poison };
  return scenario;
}

} // namespace skylarkwing::bench
