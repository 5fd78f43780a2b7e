#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/timer_service.h"
#include "membership/membership_service.h"
#include "membership/ownership.h"
#include "membership/periodic_timer.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** This daemon's ownership of a replica. */
enum class HoldState
{
  /** This daemon is to own the replica, but another may still hold it. */
  Waiting,
  Held,
  /** Another daemon is to own the replica, but work for it still runs here. */
  Releasing,
};

/** @return the name of a state, for logs and screens. */
std::string_view
NameOf(HoldState aState);

/** Actions of the daemon when it gets or loses a replica. */
struct HandoverHooks
{
  /** Start using a replica, or resume using one that was being released. */
  std::function<void(const std::string& aReplica)> onAcquire;
  /**
   * Accept no new work for a replica, finish its running work and close its connections, then call
   * ConfirmReleased().
   */
  std::function<void(const std::string& aReplica)> onRelease;
};

/**
 * Transfers replicas between owners, so that no two daemons hold connections to one replica.
 *
 * A new owner asks every daemon that may hold the replica, and acquires it once each of them has
 * released it or is gone. When two daemons ask each other because their member lists differ, the
 * first in a fixed order wins. A daemon that releases a replica also names the daemon that it
 * released it to before. Not thread-safe: one instance belongs to one event loop.
 */
class Handover
{
public:
  Handover(core::TimerService& aTimers,
           core::RandomSource& aRandom,
           core::Metrics& aMetrics,
           MembershipService& aMembership,
           HandoverHooks aHooks);
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;

  /** Sets the intended owners, and starts the acquisitions and releases that follow from them. */
  void SetOwners(OwnerMap aOwners);

  /** Reports that the release of a replica is complete. */
  void ConfirmReleased(const std::string& aReplica);

  /**
   * @return whether this daemon may send new work to a replica now: it holds the replica, is not
   *         superseded and is not recovering from a pause.
   */
  bool MayUse(const std::string& aReplica) const;

  /** @return the intended owners, for sending parts to them. */
  const OwnerMap& Owners() const { return mOwners; }

  /** @return the number of replicas held or being released; a stopping daemon waits for 0. */
  std::size_t HeldCount() const;

private:
  struct Replica
  {
    HoldState state = HoldState::Waiting;
    /** VMs whose daemons may still hold it; each is asked. */
    std::set<std::string> possibleHolders;
    core::TimePoint waitingSince;
  };

  void StartAcquiring(const std::string& aReplica, const std::string& aPreviousOwner);
  void StartReleasing(const std::string& aReplica);
  void Acquire(const std::string& aName, Replica& aReplica);
  void Run();
  void HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleReleased(const std::string& aVm, const std::string& aReplica);
  bool IsFreeFor(const std::string& aReplica, const std::string& aRequester);
  bool IsPresent(const std::string& aVm) const;

  core::TimerService& mTimers;
  MembershipService& mMembership;
  HandoverHooks mHooks;
  PeriodicTimer mTimer;
  OwnerMap mOwners;
  std::map<std::string, Replica> mReplicas;
  /** The VM that this daemon last released each replica to. */
  std::map<std::string, std::string> mReleasedTo;
  prometheus::Counter& mAcquired;
  prometheus::Counter& mReleased;
  prometheus::Counter& mOverdue;
  prometheus::Gauge& mHeld;
};

} // namespace skylarkwing::membership
