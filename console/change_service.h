#pragma once

#include "console/console_hooks.h"
#include "core/timer_service.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** Fields common to all change requests. */
struct ChangeTerms
{
  /** The generation that the operator saw; absent means the current one. */
  std::optional<std::uint64_t> expectedGeneration;
  std::string author;
  std::string reason;
  /** Applies the change despite the harms found. */
  bool force = false;
};

/** A failure domain to take out or back. */
struct DomainChange
{
  std::string name;
  bool out = false;
};

/**
 * Checks change requests of operators and submits them to the store.
 *
 * A new declaration replaces the whole document, so any change since the generation that the
 * operator saw is a conflict. Taking a failure domain out or back changes one field: it conflicts
 * only with changes that name the same domain, so that unrelated changes do not block it.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ChangeService
{
public:
  /** Maximum retries of a domain change on a newer configuration. */
  static constexpr int kMaxRetries = 2;
  /** Longest wait of such a change until this daemon has the newer configuration. */
  static constexpr core::Duration kMaxConfigurationWait = std::chrono::seconds{ 3 };

  /** @param aHooks must outlive this service. */
  ChangeService(core::TimerService& aTimers, const ConsoleHooks& aHooks);

  /** Applies a declaration; the callback may run before this returns. */
  void ApplyDeclaration(const std::string& aText, ChangeTerms aTerms, ChangeCallback aCallback);

  /** Takes a failure domain out or back; the callback may run before this returns. */
  void ApplyDomain(const DomainChange& aChange, ChangeTerms aTerms, ChangeCallback aCallback);

private:
  /** A domain change that may be retried. */
  struct DomainAttempt
  {
    DomainChange change;
    ChangeTerms terms;
    ChangeCallback callback;
    int retries = 0;
    /** The last outcome reported by the store. */
    ChangeOutcome outcome;
    core::TimePoint giveUpAt{};
  };
  using AttemptPtr = std::shared_ptr<DomainAttempt>;

  core::TimerService& mTimers;
  const ConsoleHooks& mHooks;

  void TryDomain(const AttemptPtr& aAttempt);
  void FinishDomainAttempt(const AttemptPtr& aAttempt, ChangeOutcome aOutcome);
  void AwaitConfiguration(const AttemptPtr& aAttempt);

  std::vector<std::string> FindHarms(const declaration::Declaration& aFrom,
                                     const declaration::Declaration& aTo) const;
  void Submit(const declaration::Configuration& aPresent,
              declaration::Declaration aDeclaration,
              ChangeTerms aTerms,
              ChangeCallback aCallback);
};

} // namespace skylarkwing::console
