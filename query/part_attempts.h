#pragma once

#include "declaration/routing_table.h"
#include "upstream/replica_balancer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** One piece of work for one service. */
struct PartPlan
{
  std::string service;
  /** How it is served; lives as long as the table. */
  const declaration::Route* route = nullptr;
  std::shared_ptr<const declaration::RoutingTable> table;
  std::shared_ptr<const upstream::ForwardedRequest> request;
  core::TimePoint deadline;
  /** When an answer is worth less; past it, any answer before the deadline will do. */
  core::TimePoint objective;
};

/** Where a part stands. */
enum class PartState
{
  /** It was not sent yet. */
  Deferred,
  /** It waits for a replica with room. */
  Waiting,
  Running,
  Answered,
  /** No attempt is left. */
  Failed,
};

/**
 * The attempts at one part: the first one, a hedge for a straggler, a retry after a failure.
 *
 * Repeats only what may be repeated, only within the budget, and never at a replica already tried.
 */
class PartAttempts : public std::enable_shared_from_this<PartAttempts>
{
public:
  /** @param aOnChange called when the part is answered or has failed. */
  PartAttempts(upstream::ReplicaBalancer& aReplicas,
               core::TimerService& aTimers,
               PartPlan aPlan,
               std::function<void()> aOnChange);

  /** @return how long the part would take if it were sent now, nothing when no replica may take it.
   */
  std::optional<core::Duration> Expected() const;

  /** Sends the first attempt, or waits for room. */
  void Start();

  /** Sends a hedge when the running attempt has become a straggler. */
  void HedgeIfDue();

  /** @return when HedgeIfDue() may act, nothing when it never will. */
  std::optional<core::TimePoint> HedgeDue() const;

  /** Starts nothing more and reports nothing more. Running attempts go on. */
  void Abandon();

  /** Closes the connections of running attempts. */
  void CancelRunning();

  PartState State() const { return mState; }

  /** @return the answer, or the replica's own failure when there is one. */
  upstream::AttemptResult& Result() { return mResult; }

  /** @return whether any attempt may have run. */
  bool MayHaveRun() const;

  /** @return after how long replicas that want rest may be asked again, nothing when none does. */
  std::optional<core::Duration> RestLeft() const;

  /** @return how many attempts were sent. */
  std::size_t SentCount() const { return mSent; }

  /**
   * @return how the attempts ended, for the log: the service, then for each attempt its replica,
   *         its status and its start and end in milliseconds since the part's start.
   */
  std::string Story() const;

private:
  struct Sent
  {
    std::string replica;
    /** Whether the replica had not been asked before. */
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
  std::vector<Sent> mAttempts;
  std::vector<std::string> mTried;
  /** Replicas that were sent the part, each once. */
  std::vector<std::string> mAsked;
  /** Those of them that have turned it away, and may be asked again. */
  std::vector<std::string> mTurnedAway;
  std::size_t mRefusals = 0;
  /** Whether no replica is left that was never asked. */
  bool mIsOutOfOthers = false;
  std::size_t mSent = 0;
  std::size_t mNothingSent = 0;
  upstream::ReplicaBalancer::WaiterId mWaiter = 0;
  upstream::SendRefusal mRefusal = upstream::SendRefusal::None;
  upstream::AttemptResult mResult;
  core::TimePoint mBegunAt{};
  bool mIsAbandoned = false;
  bool mWasHedged = false;
  /** No hedge before this: there was no replica that would answer in time. */
  core::TimePoint mNoHedgeBefore{};

  bool IsRunning() const;
  upstream::AttemptRequest MakeOrder() const;
  bool TrySend(core::Duration aFasterThan);
  void SendOrWait();
  bool IsAskingAgain() const;
  void AskAgainLater();
  void NoteEnd(Sent& aSent, upstream::AttemptStatus aStatus);
  void OnResult(std::size_t aIndex, upstream::AttemptResult aResult);
  bool MayRetry(upstream::AttemptStatus aStatus);
  void Fail();
};

} // namespace skylarkwing::query
