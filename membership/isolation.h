#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "membership/membership_service.h"

#include <functional>
#include <optional>
#include <string_view>

namespace skylarkwing::membership {

/** Whom a daemon reaches, which decides whether it may take new work. */
enum class Contact
{
  /** The store confirmed the configuration lately. */
  Store,
  /** The store did not, but more than half of the members are heard and know no newer one. */
  Peers,
  /** Some members are heard, but not more than half. */
  Minority,
  /** Nobody is heard. */
  Nobody,
};

/** @return the name of a contact, for logs and metric labels. */
std::string_view
NameOf(Contact aContact);

/** What the judgement of isolation needs from its daemon. */
struct IsolationHooks
{
  /** When the store last confirmed the configuration in force, measured from before the call. */
  std::function<std::optional<core::TimePoint>()> storeConfirmedAt;
};

/**
 * Judges whether this daemon can still learn of changes in time, such as a failure domain that
 * operators take out.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class Isolation
{
public:
  Isolation(core::TimerService& aTimers,
            core::Metrics& aMetrics,
            MembershipService& aMembership,
            IsolationHooks aHooks);
  Isolation(const Isolation&) = delete;
  Isolation& operator=(const Isolation&) = delete;

  /** @return whether this daemon may begin new work; a refusal is "not run". */
  bool MayTakeNewWork() const;

  /**
   * @return whether this daemon should ask the store now, because its peers have lately not shown
   *         that it is up to date; true early enough for the answer to come before it is needed.
   */
  bool NeedsStore() const;

  /** @return whom this daemon reaches, as of the last judgement. */
  Contact Present() const { return mContact; }

private:
  void Judge();
  bool IsMajorityAgreed() const;
  bool IsAnyoneHeard() const;
  bool IsStoreRecent() const;
  Contact Choose() const;

  core::TimerService& mTimers;
  MembershipService& mMembership;
  IsolationHooks mHooks;
  std::optional<core::TimePoint> mMajorityAt;
  Contact mContact = Contact::Nobody;
  prometheus::Gauge& mMayTake;
  prometheus::Counter& mChanges;
};

} // namespace skylarkwing::membership
