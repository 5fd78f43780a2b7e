#pragma once

#include "declaration/routing_table.h"
#include "query/crash_guard.h"
#include "upstream/replica_balancer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** The part of a request that goes to one service. */
struct PartPlan
{
  std::string service;
  /** Owned by the table. */
  const declaration::Route* route = nullptr;
  std::shared_ptr<const declaration::RoutingTable> table;
  std::shared_ptr<const upstream::ForwardedRequest> request;
  std::shared_ptr<const upstream::RequestTerms> terms;
  core::TimePoint deadline;
  /** Answers after this time still count, up to the deadline. */
  core::TimePoint objective;
  /** Prevents attempts at a request that ends replicas; may be null. */
  std::shared_ptr<CrashWatch> crashes;
  /** Whether an earlier attempt may have reached a replica, so that the first one here is extra. */
  bool isRepeat = false;
  /** Failure domains whose replicas must not be used; may be null. */
  std::shared_ptr<const std::vector<std::string>> domainsOut;
};

/** State of a part. */
enum class PartState
{
  /** Not started yet. */
  Deferred,
  /** Waiting for a replica with free capacity or for the end of a backoff. */
  Waiting,
  Running,
  Answered,
  /** Unanswered, and no attempt is left. */
  Failed,
};

/**
 * The attempts at one part: the first one, a hedge for a straggler and retries after failures.
 *
 * Retries only when the request may run again and the budget allows it. A replica is tried again
 * only when it refused the part without running it.
 */
class PartAttempts : public std::enable_shared_from_this<PartAttempts>
{
public:
  /** @param aOnChange called when the part is answered or fails. */
  PartAttempts(upstream::ReplicaBalancer& aReplicas,
               core::TimerService& aTimers,
               PartPlan aPlan,
               std::function<void()> aOnChange);

  /**
   * @return the expected latency of a part sent now, nothing when no replica may take it, or none
   *         soon enough.
   */
  std::optional<core::Duration> ExpectedLatency() const;

  /** Sends the first attempt, or waits for a replica with free capacity. */
  void Start();

  /** Sends a hedge when the running attempt is a straggler. */
  void SendHedgeIfDue();

  /** @return the earliest time at which SendHedgeIfDue() may act, nothing when it cannot. */
  std::optional<core::TimePoint> HedgeDue() const;

  /** Stops sending attempts and reporting results. Running attempts continue. */
  void Abandon();

  /** Abandons the part and closes the connections of its running attempts. */
  void CancelRunning();

  PartState State() const { return mState; }
  const std::string& Service() const { return mPlan.service; }

  /** @return the answer, or the failure response of a replica when there is one. */
  upstream::AttemptResult& Result() { return mResult; }

  /** @return whether a replica may have run the part. */
  bool MayHaveRun() const;

  /** @return when the first attempt was sent that a replica may have run, nothing if none was. */
  std::optional<core::TimePoint> FirstRunAt() const;

  /** @return whether an attempt has found no way to its replica, or has got no answer. */
  bool IsUnreachable() const;

  /**
   * @return the time until a replica accepts work whose backoff or rate limit prevents the part,
   *         nothing when neither does.
   */
  std::optional<core::Duration> RetryDelay() const;

  std::size_t SentCount() const { return mSent; }

  /**
   * @return a summary of the attempts for the log: the service, then for each attempt its replica,
   *         its status, and its start and end in milliseconds since the start of the part.
   */
  std::string AttemptSummary() const;

private:
  struct SentAttempt
  {
    std::string replica;
    /** Whether this is the first attempt at the replica. */
    bool isFirst = true;
    std::shared_ptr<upstream::Attempt> attempt;
    std::optional<upstream::AttemptStatus> status;
    core::TimePoint startedAt;
    core::TimePoint endedAt;
  };

  upstream::ReplicaBalancer& mReplicas;
  core::TimerService& mTimers;
  PartPlan mPlan;
  std::function<void()> mOnChange;
  PartState mState = PartState::Deferred;
  std::vector<SentAttempt> mAttempts;
  std::vector<std::string> mTried;
  /** Replicas that were sent the part, without duplicates; counts against Route::maxAttempts. */
  std::vector<std::string> mAsked;
  /** Asked replicas that refused the part without running it and may be asked again. */
  std::vector<std::string> mRefusedBy;
  std::size_t mRefusals = 0;
  bool mHasTriedAllReplicas = false;
  std::size_t mSent = 0;
  std::size_t mConnectFailures = 0;
  upstream::ReplicaBalancer::WaiterId mWaiter = 0;
  upstream::SendRefusal mRefusal = upstream::SendRefusal::None;
  upstream::AttemptResult mResult;
  core::TimePoint mStartedAt{};
  bool mIsAbandoned = false;
  bool mWasHedged = false;
  /** Set when no replica would have answered a hedge in time. */
  core::TimePoint mNoHedgeBefore{};
  /** Whether the attempt in progress is a retry that other lost parts wait for. */
  bool mIsAwaitedRetry = false;

  bool IsRunning() const;
  core::Duration MaxWait() const;
  bool MustWaitTooLong() const;
  void Wait();
  void ReviewWait();
  upstream::AttemptRequest MakeAttemptRequest() const;
  bool TrySend(const upstream::AttemptRequest& aRequest);
  void SendOrWait(bool aHasWaited = false);
  bool IsRetryingRefusers() const;
  void RetryAfterBackoff();
  void RetryAfterLoss();
  void EndAwaitedRetry();
  void ReportToCrashWatch(const SentAttempt& aAttempt, upstream::AttemptStatus aStatus);
  void RecordEnd(SentAttempt& aAttempt, upstream::AttemptStatus aStatus);
  void OnResult(std::size_t aIndex, upstream::AttemptResult aResult);
  bool MayRetry(upstream::AttemptStatus aStatus);
  void Fail();
};

} // namespace skylarkwing::query
