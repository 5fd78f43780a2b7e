#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "membership/membership_service.h"

#include <functional>
#include <optional>
#include <string_view>

namespace skylarkwing::membership {

/** Whom a daemon reaches, which decides whether it may take new work. */
enum class Connectivity
{
  /** The store confirmed the configuration lately. */
  Store,
  /** The store did not, but more than half of the members are heard and know no newer one. */
  Peers,
  /** Some members are heard, but not more than half. */
  Minority,
  /** Nobody is heard. */
  None,
};

/** @return the name of a contact, for logs and metric labels. */
std::string_view
NameOf(Connectivity aConnectivity);

/** What the judgement of isolation needs from its daemon. */
struct ConnectivityHooks
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
class ConnectivityMonitor
{
public:
  ConnectivityMonitor(core::TimerService& aTimers,
                      core::Metrics& aMetrics,
                      MembershipService& aMembership,
                      ConnectivityHooks aHooks);
  ConnectivityMonitor(const ConnectivityMonitor&) = delete;
  ConnectivityMonitor& operator=(const ConnectivityMonitor&) = delete;

  /** @return whether this daemon may begin new work; a refusal is "not run". */
  bool MayTakeNewWork() const;

  /**
   * @return whether this daemon should ask the store now, because its peers have lately not shown
   *         that it is up to date; true early enough for the answer to come before it is needed.
   */
  bool NeedsStore() const;

  /** @return whom this daemon reaches, as of the last judgement. */
  Connectivity Current() const { return mConnectivity; }

private:
  void Evaluate();
  bool IsMajorityAgreed() const;
  bool IsAnyoneHeard() const;
  bool IsStoreRecent() const;
  Connectivity Choose() const;

  core::TimerService& mTimers;
  MembershipService& mMembership;
  ConnectivityHooks mHooks;
  std::optional<core::TimePoint> mMajorityAt;
  Connectivity mConnectivity = Connectivity::None;
  prometheus::Gauge& mMayTakeNewWork;
  prometheus::Counter& mChanges;
};

} // namespace skylarkwing::membership
