#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "store/store_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::store {

/** Keys of the permits, which go away with their holder's lease. */
inline constexpr const char* kPermitPrefix = "skylarkwing/permits/";

/** Keys that name the last holder of each permit until it was given back. */
inline constexpr const char* kPermitHolderPrefix = "skylarkwing/permit-holders/";

/** What the permits need from their daemon; the promise hooks may be unset. */
struct WarmupPermitHooks
{
  /** The longest deadline of any request: how long work of a lapsed holder can still run. */
  std::function<core::Duration()> maxRequestDeadline;
  /** How many daemons there are, this one included. */
  std::function<std::size_t()> memberCount;
  /**
   * Whether somebody may lately have warmed replicas up by promises, so that a new process has to
   * wait for the end of promises that it does not know; unset counts as true.
   */
  std::function<bool()> mayPromisesBeOutstanding;
  /**
   * Asks every other member not shown as gone to leave a replica to this daemon.
   *
   * @return until when their promises hold, counted from before they were asked for; nothing when
   *         one refused or did not answer.
   */
  std::function<core::Task<std::optional<core::TimePoint>>(std::string aReplica)> requestPromises;
  /**
   * Until when this daemon promised a replica to another one that has not given it back, also when
   * that time has passed.
   */
  std::function<std::optional<core::TimePoint>(const std::string& aReplica)> promisedElsewhereUntil;
  /** Gives the promises for a replica back. */
  std::function<void(const std::string& aReplica)> releasePromises;
};

/**
 * Decides which daemon may send to a replica that is not known to be warm: the holder of its
 * permit, of which there is at most one.
 *
 * A permit is a key that this daemon creates under its lease, or, while the store is out, the
 * promises of all other members. It is valid for as long as the lease, counted from before the
 * renewal was sent and less a margin, so that a process that was paused finds it lapsed. Whoever
 * succeeds a holder that did not give its permit back waits out the longest deadline first.
 *
 * Not thread-safe: one instance belongs to one event loop, and it must outlive the loop's run.
 */
class WarmupPermits
{
public:
  /**
   * @param aExecutor the event loop on which leases are renewed.
   * @param aHolder identifies this process among all, over restarts as well.
   */
  WarmupPermits(boost::asio::any_io_executor aExecutor,
                core::TimerService& aTimers,
                core::RandomSource& aRandom,
                core::Metrics& aMetrics,
                StoreClient& aClient,
                std::string aHolder,
                WarmupPermitHooks aHooks);
  WarmupPermits(const WarmupPermits&) = delete;
  WarmupPermits& operator=(const WarmupPermits&) = delete;

  /**
   * Tries to get the permit of a replica; asking for one that is held costs nothing.
   *
   * @return whether it may be used now. False while another holds it, while the work of an earlier
   *         holder may still run, and for about a second after a refusal.
   */
  core::Task<bool> Acquire(std::string aReplica);

  /**
   * @return whether a permit that Acquire() has granted may be used at this moment; to be asked
   *         just before each send.
   */
  bool IsHeld(const std::string& aReplica) const;

  /**
   * @return whether this daemon holds the permit or is about to: it must then promise the replica
   *         to nobody else.
   */
  bool MayHold(const std::string& aReplica) const;

  /** Gives a permit back, once no work of this daemon runs at the replica or it is warm. */
  void Release(const std::string& aReplica);

private:
  struct Permit
  {
    /** The lease that carries it; 0 when promises do. */
    LeaseId lease = 0;
    /** The key's revision in the store. */
    Revision revision = 0;
    /** When the work of an earlier holder has ended. */
    core::TimePoint usableFrom;
    /** When its promises end. */
    core::TimePoint promisedUntil;
    core::TimePoint lastAskedAt;
    bool isTaken = false;
    bool isRenewing = false;
  };

  enum class Attempt
  {
    Granted,
    Denied,
    StoreOut,
  };

  /** What is known of a permit's keys while an attempt runs. */
  struct Claim
  {
    LeaseId lease = 0;
    /** Revision of the last holder's key, 0 when it is absent. */
    Revision holderRevision = 0;
    /** The replica may still run the work of an earlier holder. */
    bool mustWait = false;
    bool isDenied = false;
  };

  /** A permit on its way back to the store. */
  struct Return
  {
    /** The key's revision, 0 when it is unknown. */
    Revision revision = 0;
    /** No work is left at the replica, so that a successor need not wait. */
    bool isClean = false;
    bool isUnderWay = false;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  StoreClient& mClient;
  std::string mHolder;
  WarmupPermitHooks mHooks;
  core::TimePoint mStartedAt;
  LeaseId mLease = 0;
  core::TimePoint mLeaseValidUntil;
  core::TimePoint mLeaseRenewedAt;
  bool mIsGranting = false;
  bool mIsRenewing = false;
  bool mIsTending = false;
  std::vector<std::function<void()>> mLeaseWaiters;
  std::map<std::string, Permit> mPermits;
  std::set<std::string> mUnderWay;
  std::map<std::string, core::TimePoint> mNextTry;
  std::map<std::string, Return> mReturns;
  prometheus::Counter& mGranted;
  prometheus::Counter& mDenied;
  prometheus::Counter& mStoreOut;
  prometheus::Counter& mLapsed;
  prometheus::Gauge& mHeldGauge;

  bool IsValid(const Permit& aPermit) const;
  bool IsUsable(const std::string& aReplica, const Permit& aPermit) const;
  bool IsPromisedElsewhere(const std::string& aReplica) const;
  std::optional<core::TimePoint> LastPromiseElsewhere(const std::string& aReplica) const;
  bool MayTry(const std::string& aReplica) const;
  bool Take(const std::string& aReplica);
  core::TimePoint EndOfEarlierWork(const std::string& aReplica, bool aMustWait) const;
  core::Task<Attempt> TryStore(std::string aReplica);
  core::Task<Attempt> TryPromises(std::string aReplica);
  Transaction MakeClaim(const std::string& aReplica, const Claim& aClaim) const;
  std::optional<Revision> Examine(const std::string& aReplica,
                                  const TransactionResult& aResult,
                                  Claim& aClaim) const;
  Attempt Grant(const std::string& aReplica, const Claim& aClaim, Revision aRevision);
  core::Task<StoreError> EnsureLease();
  core::Task<StoreError> GrantLease();
  bool IsLeaseFresh() const;
  void Tend();
  core::Task<void> RunTend();
  core::Task<void> RenewLease();
  core::Task<void> RenewPromises(std::string aReplica);
  void GiveBack(const std::string& aReplica, Revision aRevision, bool aIsClean);
  core::Task<void> RunReturn(std::string aReplica);
  core::Task<bool> SendReturn(std::string aReplica, Return aReturn);
  void StartReturns();
  void RenewDuePromises();
  void DropLapsed();
  void DropUnwanted();
  std::size_t PromisedPermits() const;
};

} // namespace skylarkwing::store
