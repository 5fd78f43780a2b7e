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

/** What this daemon does with a replica. */
enum class HoldState
{
  /** It is to own the replica, and another may still hold it. */
  Waiting,
  Held,
  /** Another is to own the replica, and work here still runs. */
  Releasing,
};

/** @return the name of a holding, for logs and screens. */
std::string_view
NameOf(HoldState aState);

/** What a handover asks its daemon to do. */
struct HandoverHooks
{
  /** Begin to own a replica, or go on after all when it was being released. */
  std::function<void(const std::string& aReplica)> onAcquire;
  /** Take no new work for a replica, finish what runs, close its connections; then
   * ConfirmReleased(). */
  std::function<void(const std::string& aReplica)> onRelease;
};

/**
 * Passes replicas from owner to owner, so that no two daemons hold connections to one replica.
 *
 * A new owner asks whoever may hold the replica and begins once each of them has released it or is
 * gone. Of two that ask each other, because their member lists differ, the one that comes first in
 * a fixed order wins; and whoever declares a replica free tells to whom it did so before. Not
 * thread-safe: one instance belongs to one event loop.
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

  /** Takes the owners as they are to be now. */
  void SetOwners(OwnerMap aOwners);

  /** Reports that nothing of a replica that was being released is left here. */
  void ConfirmReleased(const std::string& aReplica);

  /**
   * @return whether this daemon may send a replica new work now: it holds it and has no doubt about
   *         its own standing.
   */
  bool MayUse(const std::string& aReplica) const;

  /** @return the owners as they are to be, for whoever sends parts to them. */
  const OwnerMap& Owners() const { return mOwners; }

  /** @return how many replicas are held or being released here; a daemon that stops waits for 0. */
  std::size_t HeldCount() const;

private:
  struct Replica
  {
    HoldState holding = HoldState::Waiting;
    /** Members that may still hold it. */
    std::set<std::string> possibleHolders;
    core::TimePoint since;
  };

  void StartAcquiring(const std::string& aReplica, const std::string& aOwnerBefore);
  void StartReleasing(const std::string& aReplica);
  void Acquire(const std::string& aReplica, Replica& aState);
  void Run();
  void HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleRelease(const std::string& aVm, const std::string& aReplica);
  bool IsFreeFor(const std::string& aReplica, const std::string& aAsker);
  bool IsPresent(const std::string& aVm) const;

  core::TimerService& mTimers;
  MembershipService& mMembership;
  HandoverHooks mHooks;
  PeriodicTimer mTimer;
  OwnerMap mOwners;
  std::map<std::string, Replica> mReplicas;
  /** The VM that each replica was last declared free to. */
  std::map<std::string, std::string> mReleasedTo;
  prometheus::Counter& mAcquired;
  prometheus::Counter& mReleased;
  prometheus::Counter& mOverdue;
  prometheus::Gauge& mHeld;
};

} // namespace skylarkwing::membership
