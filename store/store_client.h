#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "store/backoff.h"
#include "store/call_rate_limiter.h"
#include "store/store_endpoint.h"
#include "store/store_messages.h"
#include "store/watch_stream.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::store {

/** Timeouts, retry delays and call rates of one process. */
struct StoreClientLimits
{
  /** Minimum timeout of one attempt; a call with a longer time limit gives each attempt half. */
  core::Duration attemptTimeout = std::chrono::seconds{ 2 };
  core::Duration initialBackoff = std::chrono::milliseconds{ 100 };
  core::Duration maxBackoff = std::chrono::seconds{ 10 };
  /** Long-term call rate of all processes together. */
  double fleetCallsPerSecond = 400.0;
  /** Maximum call rate of one process, however small the fleet is. */
  double maxCallsPerSecond = 20.0;
  /** Minimum call rate of one process, which keeps its lease alive in a fleet of any size. */
  double minCallsPerSecond = 0.25;
  /** Calls that a process can make at once after a quiet time. */
  double burst = 20.0;
};

/** An open watch, or the reason why it could not be opened. */
struct WatchResult
{
  StoreError error = StoreError::None;
  std::shared_ptr<WatchStream> stream;
};

/**
 * Client of the platform's key-value service: with time limits, failover between servers,
 * exponential backoff and a limited call rate.
 *
 * A call that is safe to repeat is repeated within its time limit. A transaction is repeated only
 * if it was certainly not sent; the caller has to handle a missing answer.
 *
 * Not thread-safe: one instance belongs to one event loop, and it must outlive its calls.
 */
class StoreClient
{
public:
  /** @param aEndpoints the store's servers, at least one. */
  StoreClient(core::TimerService& aTimers,
              core::RandomSource& aRandom,
              core::Metrics& aMetrics,
              std::vector<StoreEndpoint> aEndpoints,
              StoreClientLimits aLimits = {});
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;
  ~StoreClient();

  /** Reads one key or all keys with a prefix. */
  core::Task<RangeResult> Range(RangeRequest aRequest, core::Duration aTimeLimit);

  /** Runs a transaction; after OutcomeUnknown or Malformed it may have taken effect. */
  core::Task<TransactionResult> RunTransaction(Transaction aTransaction, core::Duration aTimeLimit);

  /** Requests a lease; a lease whose answer is lost expires without a renewal. */
  core::Task<LeaseResult> GrantLease(std::chrono::seconds aTimeToLive, core::Duration aTimeLimit);

  /** Renews a lease; its time to live counts from before this call. */
  core::Task<LeaseResult> KeepLeaseAlive(LeaseId aLease, core::Duration aTimeLimit);

  /** Ends a lease and deletes its keys. */
  core::Task<StoreError> RevokeLease(LeaseId aLease, core::Duration aTimeLimit);

  /** Watches one key, starting with the events of a revision. */
  core::Task<WatchResult> Watch(std::string aKey, Revision aStart, core::Duration aTimeLimit);

  /**
   * Sets this process's share of the fleet's call rate.
   *
   * @param aMembers number of processes that share the store, this one included.
   */
  void SetFleetSize(std::size_t aMembers);

  /** @return false while the last attempt at every server has failed; true before the first one. */
  bool IsReachable() const { return mIsReachable; }

  /** @return start time of the latest attempt that was answered, by the timer service's clock. */
  std::optional<core::TimePoint> LastAnswered() const { return mLastAnswered; }

private:
  struct Server;
  struct Answer;
  struct CallMetrics;

  core::TimerService& mTimers;
  StoreClientLimits mLimits;
  CallRateLimiter mRateLimiter;
  std::vector<std::unique_ptr<Server>> mServers;
  std::size_t mPreferred = 0;
  std::vector<CallMetrics> mCallMetrics;
  bool mIsReachable = true;
  std::optional<core::TimePoint> mLastAnswered;

  core::Task<Answer> Call(CallKind aKind, std::string aBody, core::Duration aTimeLimit);
  core::Task<StoreError> WaitForPermission(core::TimePoint aDeadline);
  core::Task<Answer> Attempt(CallKind aKind, std::string aBody, core::Duration aTimeout);
  core::Duration AttemptTimeout(core::Duration aTimeLimit, core::TimePoint aDeadline) const;
  Server& PickServer();
  void RecordAttempt(CallKind aKind, Server& aServer, StoreError aError, core::TimePoint aStart);
  void CountCall(CallKind aKind, StoreError aError);
  void SetReachable(bool aIsReachable);
};

} // namespace skylarkwing::store
