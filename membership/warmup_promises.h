#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "membership/membership_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace skylarkwing::membership {

/** How long a promise binds the member that made it, by its own monotonic clock. */
constexpr std::chrono::seconds kPromiseTtl{ 5 };

/** What the promises ask their daemon; unset hooks count as false. */
struct WarmupPromiseHooks
{
  /** Whether this daemon may use a permit from the store for that replica now. */
  std::function<bool(const std::string& aReplica)> holdsPermit;
};

/**
 * Permits to warm up a replica while the store is unavailable: every member promises one requester
 * not to promise the replica to another and not to warm it up itself.
 *
 * Every member that was not removed must promise, including silent ones: a silent member may be
 * warming up the replica. A process that started less than kPromiseTtl ago promises nothing,
 * because the previous process may have promised the replica. Not thread-safe: one instance belongs
 * to one event loop.
 */
class WarmupPromises
{
public:
  WarmupPromises(core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 core::Metrics& aMetrics,
                 MembershipService& aMembership,
                 WarmupPromiseHooks aHooks);
  WarmupPromises(const WarmupPromises&) = delete;
  WarmupPromises& operator=(const WarmupPromises&) = delete;
  ~WarmupPromises();

  /**
   * Requests a promise for a replica from every member; a request before the end renews it.
   *
   * @return until when the promises hold, counted from before the request and less a margin for
   *         clock drift; nothing when a member refused or did not answer.
   */
  core::Task<std::optional<core::TimePoint>> RequestFromAll(std::string aReplica);

  /** Gives the promises for a replica back, so that others need not wait for their end. */
  void Release(const std::string& aReplica);

  /** @return whether a promise of this daemon to another one holds, so that it must not warm up. */
  bool IsPromisedElsewhere(const std::string& aReplica) const;

  /**
   * @return until when this daemon promised a replica to another one that has not given it back,
   *         also when that time has passed; nothing when there is no such promise.
   */
  std::optional<core::TimePoint> PromisedElsewhereUntil(const std::string& aReplica) const;

private:
  /** A promise that this daemon made. */
  struct Promise
  {
    /** The VM and incarnation that it was made to. */
    std::string requester;
    std::string request;
    core::TimePoint until;
  };

  /** A request to all members that is not complete. */
  struct PendingRequest
  {
    std::string replica;
    /** VMs that have not answered. */
    std::set<std::string> unanswered;
    bool isRefused = false;
    core::TimerId timer = 0;
    std::function<void()> resume;
  };

  bool Grant(const std::string& aReplica,
             const std::string& aRequester,
             const std::string& aRequest);
  std::set<std::string> RequiredMembers() const;
  void SendRequests(const std::string& aRequest, PendingRequest& aPending);
  void Complete(PendingRequest& aPending);
  void HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleRelease(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  std::string SelfRequester() const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  MembershipService& mMembership;
  WarmupPromiseHooks mHooks;
  core::TimePoint mStartedAt;
  /** Promises that this daemon made, by replica. */
  std::map<std::string, Promise> mPromises;
  std::map<std::string, std::shared_ptr<PendingRequest>> mPending;
  prometheus::Counter& mGranted;
  prometheus::Counter& mRefused;
};

} // namespace skylarkwing::membership
