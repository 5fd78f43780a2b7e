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

/** Prefix of the permit keys, which are deleted with their holder's lease. */
inline constexpr const char* kPermitPrefix = "skylarkwing/permits/";

/** Prefix of the keys that name the last holder of a permit until it is returned. */
inline constexpr const char* kPermitHolderPrefix = "skylarkwing/permit-holders/";

/** State of the daemon that the permits depend on; the hooks for promises may be unset. */
struct WarmupPermitHooks
{
  /** The longest deadline of any request: how long work of a lapsed holder can still run. */
  std::function<core::Duration()> maxRequestDeadline;
  /** Number of daemons, this one included. */
  std::function<std::size_t()> memberCount;
  /**
   * Whether another daemon may recently have warmed up a replica under promises. A new process then
   * waits until promises of its predecessor, which it doesn't know, have ended. Unset means true.
   */
  std::function<bool()> mayPromisesBeOutstanding;
  /**
   * Asks every other member that is not known to be gone to promise a replica to this daemon.
   *
   * @return until when the promises hold, counted from before they were requested; nothing when a
   *         member refused or did not answer.
   */
  std::function<core::Task<std::optional<core::TimePoint>>(std::string aReplica)> requestPromises;
  /**
   * Until when this daemon has promised a replica to another one that has not released it; also
   * when that time has passed.
   */
  std::function<std::optional<core::TimePoint>(const std::string& aReplica)> promisedElsewhereUntil;
  /** Releases the promises for a replica. */
  std::function<void(const std::string& aReplica)> releasePromises;
};

/**
 * Decides which daemon may send to a replica that is not known to be warm: the one that holds its
 * permit. At most one daemon holds the permit of a replica.
 *
 * A permit is a key that this daemon creates under its lease or, while the store is unavailable,
 * the promises of all other members. It is valid as long as the lease, counted from before the
 * renewal was sent and reduced by a margin, so that a paused process finds its permit lapsed. If a
 * holder did not return its permit, its successor first waits for the longest request deadline.
 *
 * Not thread-safe: one instance belongs to one event loop, and it must outlive the loop's run.
 */
class WarmupPermits
{
public:
  /**
   * @param aExecutor the event loop on which leases are renewed.
   * @param aHolder identifies this process uniquely, also among its own restarts.
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
   * Tries to acquire the permit of a replica; no call is made for one that is held already.
   *
   * @return whether the permit may be used now. False while another daemon holds it, while work of
   *         an earlier holder may still run, and for about a second after a failed attempt.
   */
  core::Task<bool> Acquire(std::string aReplica);

  /**
   * @return whether a permit that Acquire() has granted may be used at this moment; to be checked
   *         right before each send.
   */
  bool IsHeld(const std::string& aReplica) const;

  /**
   * @return whether this daemon holds the permit or is acquiring it; it must then not promise the
   *         replica to another daemon.
   */
  bool MayHold(const std::string& aReplica) const;

  /** Returns a permit, once the replica is warm or no work of this daemon runs there. */
  void Release(const std::string& aReplica);

private:
  struct Permit
  {
    /** The lease of the permit's key; 0 for a permit that is based on promises. */
    LeaseId lease = 0;
    /** Revision of the permit's key. */
    Revision revision = 0;
    /** When work of an earlier holder has certainly ended. */
    core::TimePoint usableFrom;
    /** When the promises end. */
    core::TimePoint promisedUntil;
    core::TimePoint lastAskedAt;
    bool isHandedOut = false;
    bool isRenewing = false;
  };

  enum class Attempt
  {
    Granted,
    Denied,
    StoreUnavailable,
  };

  /** State of an attempt to claim a permit in the store. */
  struct Claim
  {
    LeaseId lease = 0;
    /** Revision of the last holder's key, 0 when it is absent. */
    Revision holderRevision = 0;
    /** Work of an earlier holder may still run at the replica. */
    bool mustWait = false;
    bool isDenied = false;
  };

  /** A permit whose key still has to be deleted from the store. */
  struct PendingReturn
  {
    /** Revision of the key, 0 when it is unknown. */
    Revision revision = 0;
    /** No work is left at the replica, so that a successor doesn't have to wait. */
    bool isClean = false;
    bool isInProgress = false;
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
  bool mIsMaintenanceRunning = false;
  std::vector<std::function<void()>> mLeaseWaiters;
  std::map<std::string, Permit> mPermits;
  std::set<std::string> mAcquiring;
  std::map<std::string, core::TimePoint> mNextAttemptAt;
  std::map<std::string, PendingReturn> mReturns;
  prometheus::Counter& mGranted;
  prometheus::Counter& mDenied;
  prometheus::Counter& mStoreUnavailable;
  prometheus::Counter& mLapsed;
  prometheus::Gauge& mHeldGauge;

  bool IsValid(const Permit& aPermit) const;
  bool IsUsable(const std::string& aReplica, const Permit& aPermit) const;
  bool IsPromisedElsewhere(const std::string& aReplica) const;
  std::optional<core::TimePoint> PromisedElsewhereUntil(const std::string& aReplica) const;
  bool MayAttempt(const std::string& aReplica) const;
  bool TryUse(const std::string& aReplica);
  core::TimePoint EndOfEarlierWork(const std::string& aReplica, bool aMustWait) const;
  core::Task<Attempt> ClaimInStore(std::string aReplica);
  core::Task<Attempt> ClaimByPromises(std::string aReplica);
  Transaction MakeClaimTransaction(const std::string& aReplica, const Claim& aClaim) const;
  std::optional<Revision> ProcessClaimResult(const std::string& aReplica,
                                             const TransactionResult& aResult,
                                             Claim& aClaim) const;
  Attempt Grant(const std::string& aReplica, const Claim& aClaim, Revision aRevision);
  core::Task<StoreError> EnsureLease();
  core::Task<StoreError> GrantLease();
  bool IsLeaseFresh() const;
  void StartMaintenance();
  core::Task<void> RunMaintenance();
  core::Task<void> RenewLease();
  core::Task<void> RenewPromises(std::string aReplica);
  void QueueReturn(const std::string& aReplica, Revision aRevision, bool aIsClean);
  core::Task<void> RunReturn(std::string aReplica);
  core::Task<bool> SendReturn(std::string aReplica, PendingReturn aReturn);
  void StartReturns();
  void RenewDuePromises();
  void RemoveLapsed();
  void ReleaseUnclaimed();
  std::size_t CountPromisedPermits() const;
};

} // namespace skylarkwing::store
