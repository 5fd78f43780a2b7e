#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "membership/membership_service.h"

#include <functional>
#include <optional>
#include <string_view>

namespace skylarkwing::membership {

/** What a daemon reaches, which decides whether it may take new work. */
enum class Connectivity
{
  /** The store confirmed the configuration recently. */
  Store,
  /** Not the store, but more than half of the members; none of those has a newer configuration. */
  Peers,
  /** Some members, but not more than half. */
  Minority,
  /** Neither the store nor any member. */
  None,
};

/** @return the name of a connectivity, for logs and metric labels. */
std::string_view
NameOf(Connectivity aConnectivity);

/** What the connectivity monitor asks its daemon. */
struct ConnectivityHooks
{
  /** When the store last confirmed the configuration in force, measured from before the call. */
  std::function<std::optional<core::TimePoint>()> storeConfirmedAt;
};

/**
 * Determines whether this daemon would learn of changes in time, such as a failure domain that
 * operators take out of service.
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

  /** @return whether this daemon may start new work; refused work is reported as "not run". */
  bool MayTakeNewWork() const;

  /**
   * @return whether this daemon should ask the store for the configuration, because peers have not
   *         confirmed it recently; becomes true early enough for the answer to arrive in time.
   */
  bool NeedsStore() const;

  /** @return the connectivity as of the last evaluation. */
  Connectivity Current() const { return mConnectivity; }

private:
  void Evaluate();
  bool HasMajority() const;
  bool HasHeardAnyone() const;
  bool IsStoreRecent() const;
  Connectivity Determine() const;

  core::TimerService& mTimers;
  MembershipService& mMembership;
  ConnectivityHooks mHooks;
  std::optional<core::TimePoint> mMajorityAt;
  Connectivity mConnectivity = Connectivity::None;
  prometheus::Gauge& mMayTakeNewWork;
  prometheus::Counter& mChanges;
};

} // namespace skylarkwing::membership
