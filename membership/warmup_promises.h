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

/** How long a promise binds its maker, by the maker's own monotonic clock. */
constexpr std::chrono::seconds kPromiseTtl{ 5 };

/** What the promises need from their daemon; hooks that are unset count as false. */
struct WarmupPromiseHooks
{
  /** Whether this daemon itself may use a permit of the store for that replica now. */
  std::function<bool(const std::string& aReplica)> holdsPermit;
};

/**
 * Permits to warm a replica up while the store is out: every member promises one asker to grant
 * nobody else that replica, and not to warm it up itself.
 *
 * A member that the VM list still shows must promise, also one that is silent: it may be warming
 * the replica up unheard. A process that started less than a promise's time ago promises nothing,
 * because the one before it may have. Not thread-safe: one instance belongs to one event loop.
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
   * Asks every member to promise a replica to this daemon; asking again before the end renews.
   *
   * @return until when the promises hold, counted from before they were asked for and less a
   *         margin for clocks that run apart; nothing when somebody refused or did not answer.
   */
  core::Task<std::optional<core::TimePoint>> RequestFromAll(std::string aReplica);

  /** Gives a replica back, so that others need not wait. */
  void Release(const std::string& aReplica);

  /** @return whether this daemon promised a replica to another; it must not warm it up itself. */
  bool IsPromisedElsewhere(const std::string& aReplica) const;

  /**
   * @return until when this daemon promised a replica to another that has not given it back, also
   *         when that time has passed; nothing when it has made no such promise.
   */
  std::optional<core::TimePoint> PromisedElsewhereUntil(const std::string& aReplica) const;

private:
  /** A promise that this daemon made. */
  struct Promise
  {
    /** The VM and incarnation to which it was made. */
    std::string asker;
    std::string request;
    core::TimePoint until;
  };

  /** A round of asking that is under way. */
  struct Round
  {
    std::string replica;
    std::set<std::string> waitingFor;
    bool isRefused = false;
    core::TimerId timer = 0;
    std::function<void()> wake;
  };

  bool Grant(const std::string& aReplica, const std::string& aAsker, const std::string& aRequest);
  std::set<std::string> Promisers() const;
  void Ask(const std::string& aRequest, Round& aRound);
  void End(Round& aRound);
  void HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleRelease(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  std::string SelfAsker() const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  MembershipService& mMembership;
  WarmupPromiseHooks mHooks;
  core::TimePoint mStartedAt;
  std::map<std::string, Promise> mMade;
  std::map<std::string, std::shared_ptr<Round>> mRounds;
  prometheus::Counter& mGranted;
  prometheus::Counter& mRefused;
};

} // namespace skylarkwing::membership
