#pragma once

#include "query/part_attempts.h"
#include "query/request_result.h"

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** One request, ready to be forwarded. */
struct RequestPlan
{
  const declaration::Route* route = nullptr;
  std::shared_ptr<const declaration::RoutingTable> table;
  std::shared_ptr<const upstream::ForwardedRequest> request;
  /** Where it goes: all shards, or the one service that was chosen for it. */
  std::vector<std::string> services;
  core::TimePoint arrival;
  core::TimePoint deadline;
  /** How late the daemon's loop usually is. */
  core::Duration lag{};
};

/**
 * One request on its way: a part for each shard, or a single part for a request to one replica.
 *
 * Keeps itself alive while timers or attempts refer to it.
 */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(upstream::ReplicaBalancer& aReplicas,
             core::TimerService& aTimers,
             RequestPlan aPlan,
             RequestCallback aCallback);
  virtual ~RequestRun() = default;

  /** Sends the parts. The callback may come before this returns. */
  void Start();

  /** Takes in that the caller went away: nothing more is sent, and running work ends soon. */
  void CallerGone();

private:
  upstream::ReplicaBalancer& mReplicas;
  core::TimerService& mTimers;
  RequestPlan mPlan;
  RequestCallback mCallback;
  std::vector<std::shared_ptr<PartAttempts>> mParts;
  core::TimerId mTimer = 0;
  core::TimePoint mTimerDue{};
  bool mIsStarting = true;
  bool mIsDone = false;

  void MakeParts();
  void StartParts();
  std::vector<std::size_t> DeferredParts(const std::vector<core::Duration>& aExpected) const;
  void AskDeferred();
  void Review();
  void ReviewGather();
  void ReviewSingle();
  void ScheduleReview(core::Duration aAge);
  void AnswerGather();
  core::Duration RetryAfter() const;
  RequestResult FailureOf(bool aIsLate) const;
  void Finish(RequestResult aResult);
};

} // namespace skylarkwing::query
