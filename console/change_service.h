#pragma once

#include "console/console_hooks.h"
#include "core/timer_service.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** What all requests for a change say. */
struct ChangeTerms
{
  /** The generation that the operator saw; absent means the present one. */
  std::optional<std::uint64_t> expectedGeneration;
  std::string author;
  std::string reason;
  /** Makes the change in spite of the harm that it does. */
  bool force = false;
};

/** A failure domain to take out or back. */
struct DomainChange
{
  std::string name;
  bool out = false;
};

/**
 * Turns an operator's wish into a checked change of the configuration.
 *
 * A new declaration replaces the whole document, so any change since the generation that the
 * operator saw is a conflict. Taking a failure domain out or back changes one field: it conflicts
 * only with changes that name the same domain, so that it is not held up by unrelated work.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ChangeService
{
public:
  /** Times that a change of a domain is tried again on a newer configuration. */
  static constexpr int kMaximumRetries = 2;
  /** How long such a change waits for the newer configuration to come to this daemon. */
  static constexpr core::Duration kLongestWait = std::chrono::seconds{ 3 };

  /** @param aHooks must outlive this service. */
  ChangeService(core::TimerService& aTimers, const ConsoleHooks& aHooks);

  /** Puts a declaration in force; the callback may come at once. */
  void ApplyDeclaration(const std::string& aText, ChangeTerms aTerms, ChangeCallback aCallback);

  /** Takes a failure domain out or back; the callback may come at once. */
  void ApplyDomain(const DomainChange& aChange, ChangeTerms aTerms, ChangeCallback aCallback);

private:
  /** A change of a domain that may have to be tried again. */
  struct DomainAttempt
  {
    DomainChange change;
    ChangeTerms terms;
    ChangeCallback callback;
    int retries = 0;
    /** What the store said last. */
    ChangeOutcome outcome;
    core::TimePoint giveUpAt{};
  };
  using AttemptPtr = std::shared_ptr<DomainAttempt>;

  core::TimerService& mTimers;
  const ConsoleHooks& mHooks;

  void TryDomain(const AttemptPtr& aAttempt);
  void ConcludeDomain(const AttemptPtr& aAttempt, ChangeOutcome aOutcome);
  void AwaitConfiguration(const AttemptPtr& aAttempt);

  std::vector<std::string> FindHarms(const declaration::Declaration& aFrom,
                                     const declaration::Declaration& aTo) const;
  void Submit(const declaration::Configuration& aPresent,
              declaration::Declaration aDeclaration,
              ChangeTerms aTerms,
              ChangeCallback aCallback);
};

} // namespace skylarkwing::console
