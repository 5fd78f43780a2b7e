#pragma once

#include "console/cluster_status.h"
#include "declaration/declaration.h"
#include "declaration/declaration_parser.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::console {

/** A change of the configuration that an operator asked for, already checked. */
struct ChangeRequest
{
  declaration::Declaration declaration;
  /** The change is made only on top of this generation. */
  std::uint64_t expectedGeneration = 0;
  std::string author;
  std::string reason;
  /** What changes, a line for each change, for the history. */
  std::vector<std::string> changes;
};

/** How a change ended. */
enum class ChangeVerdict
{
  /** It is written, and takes effect everywhere. */
  Accepted,
  /** Another change came first, and this one was not made. */
  Conflict,
  /** It was not made, because of a fault or because of the harm that it would do. */
  Refused,
  /** The store did not say whether it was written. */
  Unknown,
};

/** @return the name of a verdict, for messages and metric labels. */
std::string_view
NameOf(ChangeVerdict aVerdict);

/** @return the verdict of a name, or nothing. */
std::optional<ChangeVerdict>
ChangeVerdictOf(std::string_view aName);

/** What came of a change. */
struct ChangeOutcome
{
  ChangeVerdict verdict = ChangeVerdict::Unknown;
  /** The generation that the change made, or the present one after a conflict. */
  std::uint64_t generation = 0;
  /** Changes by others since the expected generation. */
  std::vector<declaration::ChangeRecord> conflicts;
  std::vector<declaration::Fault> faults;
  /** Harm that the change would do; "force" makes it nevertheless. */
  std::vector<std::string> harms;
  /** Why it was refused or is unknown, in one sentence. */
  std::string reason;
};

/** Receives the outcome of a change, exactly once. */
using ChangeCallback = std::function<void(ChangeOutcome)>;

/** How the console reaches the other slices; every hook is called on the event loop. */
struct ConsoleHooks
{
  /** The present status, as this daemon sees it. */
  std::function<ClusterStatus()> status;
  /** The newest configuration that this daemon knows, or nothing before the first. */
  std::function<std::optional<declaration::Configuration>()> configuration;
  /** Writes a change to the store; the callback may come at once. */
  std::function<void(ChangeRequest, ChangeCallback)> applyChange;
  /** Collects the burn report of all daemons as JSON (console::ToJson(BurnReport)). */
  std::function<void(std::function<void(nlohmann::json)>)> collectBurn;
  /** The quarantined requests, whole. */
  std::function<std::vector<QuarantineStatus>()> quarantine;
  /** Lifts a quarantine everywhere; false when the fingerprint is not quarantined. */
  std::function<bool(const std::string& aFingerprint)> releaseQuarantine;
};

} // namespace skylarkwing::console
