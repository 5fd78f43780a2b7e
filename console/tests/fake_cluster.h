#pragma once

#include "console/burn_tracker.h"
#include "console/console_hooks.h"
#include "declaration/declaration_parser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** A compare-and-swap store with one configuration, and the hooks of a daemon on top of it. */
struct FakeCluster
{
  FakeCluster()
  {
    configuration.generation = 1;
    configuration.declaration = *declaration::ParseDeclaration(Text()).declaration;
    AddRecord("Ngozi", "first", { "everything is new" });
  }

  static std::string Text()
  {
    std::ifstream file(SKYLARKWING_SOURCE_DIR "/deployments/adebayo.json");
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  }

  void AddRecord(std::string aAuthor, std::string aReason, std::vector<std::string> aChanges)
  {
    declaration::ChangeRecord record;
    record.generation = configuration.generation;
    record.author = std::move(aAuthor);
    record.reason = std::move(aReason);
    record.changes = std::move(aChanges);
    configuration.history.push_back(std::move(record));
  }

  /** Simulates a change by another operator at another daemon. */
  void ChangeByOtherOperator(const std::string& aLine)
  {
    ++configuration.generation;
    AddRecord("Tunde", "elsewhere", { aLine });
  }

  void Apply(ChangeRequest aRequest, const ChangeCallback& aCallback)
  {
    ++applied;
    ChangeOutcome outcome;
    outcome.generation = configuration.generation;
    if (loseAnswer) {
      outcome.verdict = ChangeVerdict::Unknown;
      outcome.reason = "the store did not answer";
      aCallback(std::move(outcome));
      return;
    }
    if (aRequest.expectedGeneration != configuration.generation) {
      outcome.verdict = ChangeVerdict::Conflict;
      outcome.conflicts = { configuration.history.back() };
      aCallback(std::move(outcome));
      return;
    }
    ++configuration.generation;
    configuration.declaration = std::move(aRequest.declaration);
    AddRecord(aRequest.author, aRequest.reason, std::move(aRequest.changes));
    outcome.verdict = ChangeVerdict::Accepted;
    outcome.generation = configuration.generation;
    aCallback(std::move(outcome));
  }

  ClusterStatus Status() const
  {
    ClusterStatus status;
    status.deployment = configuration.declaration.deployment;
    status.vm = "vm-1";
    status.generation = configuration.generation;
    status.inForce = 3;
    status.members = 3;
    status.storeReachable = true;
    for (const auto& domain : configuration.declaration.failureDomains) {
      FailureDomainStatus shown;
      shown.name = domain.name;
      shown.out = domain.out;
      shown.reason = domain.reason;
      shown.vms = { { "vm-" + domain.name, "alive", configuration.generation, 0.1 } };
      status.failureDomains.push_back(shown);
    }
    return status;
  }

  const declaration::FailureDomainDeclaration& Domain(const std::string& aName) const
  {
    const auto& domains = configuration.declaration.failureDomains;
    return *std::find_if(
      domains.begin(), domains.end(), [&](const auto& aDomain) { return aDomain.name == aName; });
  }

  ConsoleHooks Hooks()
  {
    ConsoleHooks hooks;
    hooks.status = [this] { return Status(); };
    hooks.configuration = [this] { return std::optional(configuration); };
    hooks.applyChange = [this](ChangeRequest aRequest, const ChangeCallback& aCallback) {
      Apply(std::move(aRequest), aCallback);
    };
    hooks.collectBurn = [](const auto& aCallback) { aCallback(nlohmann::json::object()); };
    hooks.quarantine = [this] { return quarantine; };
    hooks.releaseQuarantine = [this](const std::string& aFingerprint) {
      return std::erase_if(quarantine, [&](const QuarantineStatus& aEntry) {
               return aEntry.fingerprint == aFingerprint;
             }) > 0;
    };
    return hooks;
  }

  declaration::Configuration configuration;
  std::vector<QuarantineStatus> quarantine;
  int applied = 0;
  bool loseAnswer = false;
};

} // namespace skylarkwing::console
