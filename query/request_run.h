#pragma once

#include "query/part_attempts.h"
#include "query/request_result.h"

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** A request with its route and destinations. */
struct RequestPlan
{
  const declaration::Route* route = nullptr;
  std::shared_ptr<const declaration::RoutingTable> table;
  std::shared_ptr<const upstream::ForwardedRequest> request;
  /** Null means that of the route, without a customer. */
  std::shared_ptr<const upstream::RequestTerms> terms;
  /** The services of all shards, or the one service chosen for the request. */
  std::vector<std::string> services;
  core::TimePoint arrival;
  core::TimePoint deadline;
  /** Average delay of timers on the daemon's event loop. */
  core::Duration loopLag{};
  /** Prevents attempts at a request that ends replicas; may be null. */
  std::shared_ptr<CrashWatch> crashes;
  /** Whether an earlier attempt may have reached replicas, so that all attempts are extra ones. */
  bool isRepeat = false;
  /** Failure domains whose replicas must not be used, besides those known here; may be null. */
  std::shared_ptr<const std::vector<std::string>> domainsOut;
};

/**
 * Runs one forwarded request: a part for each shard, or a single part for a request to one replica.
 *
 * Timers and attempts share ownership and keep the run alive.
 */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(upstream::ReplicaBalancer& aReplicas,
             core::TimerService& aTimers,
             RequestPlan aPlan,
             RequestCallback aCallback);
  virtual ~RequestRun() = default;

  /** Sends the parts. May call the callback before it returns. */
  void Start();

  /** Handles a disconnect of the caller: sends nothing more and cancels running work after a delay.
   */
  void OnCallerGone();

  /** Ends the request now, because its deadline lies after the end of the process. */
  void GiveUp();

  /**
   * Ends the request now if it may run elsewhere, because the replicas can't be reached any more.
   * One that may have run and must not run twice goes on waiting for its answer.
   */
  void Interrupt();

  /** @return when the request arrived. */
  core::TimePoint Arrival() const { return mPlan.arrival; }

private:
  upstream::ReplicaBalancer& mReplicas;
  core::TimerService& mTimers;
  RequestPlan mPlan;
  RequestCallback mCallback;
  std::vector<std::shared_ptr<PartAttempts>> mParts;
  /** The only part that was started, because the request may end the replicas that run it. */
  std::shared_ptr<PartAttempts> mTrialPart;
  core::TimerId mTimer = 0;
  core::TimePoint mTimerDue{};
  bool mIsStarting = true;
  bool mIsDone = false;

  void MakeParts();
  void StartParts();
  bool StartTrialPart();
  void ChooseTrialPart();
  void ReviewTrialPart();
  std::vector<std::size_t> ChooseDeferredParts(const std::vector<core::Duration>& aExpected) const;
  void SendDeferred();
  void Review();
  void ReviewGather();
  void ReviewSingle();
  void ScheduleReview(core::Duration aAge);
  void AnswerGather();
  /** @return whether all shards have answered of which the request may have ended a replica. */
  bool IsAnsweredWhereSuspect() const;
  core::Duration RetryAfter() const;
  RequestResult MakeFailure(bool aIsLate) const;
  void Finish(RequestResult aResult, bool aIsAnswered = false);
};

} // namespace skylarkwing::query
