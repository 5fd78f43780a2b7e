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

/** A checked change of the configuration, ready to be written. */
struct ChangeRequest
{
  declaration::Declaration declaration;
  /** The change is made only on top of this generation. */
  std::uint64_t expectedGeneration = 0;
  std::string author;
  std::string reason;
  /** One line per change, for the history. */
  std::vector<std::string> changes;
};

/** Result of a change request. */
enum class ChangeVerdict
{
  /** Written to the store; it will take effect on every VM. */
  Accepted,
  /** Not made, because another change was written first. */
  Conflict,
  /** Not made, because of a fault or of the harm it would do. */
  Refused,
  /** The store did not say whether it was written. */
  Unknown,
};

/** @return the name of a verdict, for messages and metric labels. */
std::string_view
NameOf(ChangeVerdict aVerdict);

/** @return the verdict with this name, or nothing. */
std::optional<ChangeVerdict>
ChangeVerdictOf(std::string_view aName);

/** Result of a change with its details. */
struct ChangeOutcome
{
  ChangeVerdict verdict = ChangeVerdict::Unknown;
  /** The generation that the change made, or the current one after a conflict. */
  std::uint64_t generation = 0;
  /** Changes by others since the expected generation. */
  std::vector<declaration::ChangeRecord> conflicts;
  std::vector<declaration::Fault> faults;
  /** Harm that the change would do; "force" overrides it. */
  std::vector<std::string> harms;
  /** Why it was refused or is unknown, in one sentence. */
  std::string reason;
};

/** Receives the outcome of a change, exactly once. */
using ChangeCallback = std::function<void(ChangeOutcome)>;

/** Access of the console to the other modules; every hook is called on the event loop. */
struct ConsoleHooks
{
  /** The current status as seen by this daemon. */
  std::function<ClusterStatus()> status;
  /** The newest configuration that this daemon knows, or nothing before it has one. */
  std::function<std::optional<declaration::Configuration>()> configuration;
  /** Writes a change to the store; the callback may run before this returns. */
  std::function<void(ChangeRequest, ChangeCallback)> applyChange;
  /** Collects the burn report of all daemons as JSON (console::ToJson(BurnReport)). */
  std::function<void(std::function<void(nlohmann::json)>)> collectBurn;
  /** The complete list of quarantined requests. */
  std::function<std::vector<QuarantineStatus>()> quarantine;
  /** Lifts a quarantine everywhere; false when the fingerprint is not quarantined. */
  std::function<bool(const std::string& aFingerprint)> releaseQuarantine;
};

} // namespace skylarkwing::console
