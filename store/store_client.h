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

/** Bounds on what one process asks of the store. */
struct StoreClientLimits
{
  /** The shortest time that one attempt gets; a call with more time gives each attempt half. */
  core::Duration attemptTimeout = std::chrono::seconds{ 2 };
  core::Duration minBackoff = std::chrono::milliseconds{ 100 };
  core::Duration maxBackoff = std::chrono::seconds{ 10 };
  /** What all processes together may ask of the store, over a longer time. */
  double fleetCallsPerSecond = 400.0;
  /** The most that one process earns each second, however small the fleet is. */
  double maxCallsPerSecond = 20.0;
  /** The least that one process earns each second, so that its lease lives in any fleet. */
  double minCallsPerSecond = 0.25;
  /** Calls that a process can save up. */
  double burst = 20.0;
};

/** An open watch, or the reason why there is none. */
struct WatchResult
{
  StoreError error = StoreError::None;
  std::shared_ptr<WatchStream> stream;
};

/**
 * Calls the platform's key-value service: with time limits, over several servers, with pauses that
 * grow while it fails, and within a budget of calls.
 *
 * A call that is safe to repeat is repeated within its time. A transaction is repeated only when it
 * was certainly not sent; whoever runs one decides what a missing answer means.
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

  /** Reads keys. */
  core::Task<RangeResult> Range(RangeRequest aRequest, core::Duration aTimeLimit);

  /** Runs a transaction; OutcomeUnknown and Malformed mean that it may have taken effect. */
  core::Task<TransactionResult> Run(Transaction aTransaction, core::Duration aTimeLimit);

  /** Grants a lease; one whose answer is lost lapses by itself. */
  core::Task<LeaseResult> GrantLease(std::chrono::seconds aTimeToLive, core::Duration aTimeLimit);

  /** Renews a lease; its time counts from before this call. */
  core::Task<LeaseResult> KeepLeaseAlive(LeaseId aLease, core::Duration aTimeLimit);

  /** Ends a lease and deletes its keys. */
  core::Task<StoreError> RevokeLease(LeaseId aLease, core::Duration aTimeLimit);

  /** Watches one key from a revision on, which is included. */
  core::Task<WatchResult> Watch(std::string aKey, Revision aStart, core::Duration aTimeLimit);

  /**
   * Sets this process's share of the calls that the fleet may make.
   *
   * @param aMembers how many processes share the store, this one included.
   */
  void SetFleetSize(std::size_t aMembers);

  /** @return false while every server has failed at its latest attempt; true before the first. */
  bool IsReachable() const { return mIsReachable; }

  /** @return when the latest attempt that was answered began, in the timer service's time. */
  std::optional<core::TimePoint> LastAnswered() const { return mLastAnswered; }

private:
  struct Server;
  struct Answer;
  struct KindMetrics;

  core::TimerService& mTimers;
  StoreClientLimits mLimits;
  CallRateLimiter mRateLimiter;
  std::vector<std::unique_ptr<Server>> mServers;
  std::size_t mPreferred = 0;
  std::vector<KindMetrics> mKindMetrics;
  bool mIsReachable = true;
  std::optional<core::TimePoint> mLastAnswered;

  core::Task<Answer> Call(CallKind aKind, std::string aBody, core::Duration aTimeLimit);
  core::Task<StoreError> WaitForTurn(core::TimePoint aDeadline);
  core::Task<Answer> Attempt(CallKind aKind, std::string aBody, core::Duration aTimeout);
  core::Duration AttemptTimeout(core::Duration aTimeLimit, core::TimePoint aDeadline) const;
  Server& PickServer();
  void Note(CallKind aKind, Server& aServer, StoreError aError, core::TimePoint aStart);
  void Count(CallKind aKind, StoreError aError);
  void SetReachable(bool aIsReachable);
};

} // namespace skylarkwing::store
