#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>

namespace skylarkwing::membership {

/** What the standing needs from its daemon. */
struct PauseRecoveryHooks
{
  /** Asks the peers that hear this daemon whether they hold it for gone. */
  std::function<void()> ask;
  /** How many peers hear this daemon's heartbeats. */
  std::function<std::size_t()> monitors;
  /** Called when most of them held it for gone, so that its replicas have other owners. */
  std::function<void()> onWasGone;
};

/**
 * Whether this daemon's peers hold it for gone, which it cannot see itself: after a pause of its
 * own, or a cut, its own view is the one before.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class PauseRecovery
{
public:
  PauseRecovery(core::TimerService& aTimers, core::Metrics& aMetrics, PauseRecoveryHooks aHooks);

  /** Notes that this process runs, and how much later than it meant to. */
  void NoteRunning(core::Duration aLateness);

  /** Takes a peer's word. */
  void Hear(const std::string& aVm, bool aWasGone);

  /** @return whether this process was paused and has not yet heard how it is held. */
  bool IsRecovering() const;

private:
  void BeginRecovery(core::Duration aPause);
  void Forget();

  core::TimerService& mTimers;
  PauseRecoveryHooks mHooks;
  core::TimePoint mRanAt;
  core::TimePoint mRecoveringUntil;
  core::TimePoint mSince;
  std::set<std::string> mHeard;
  std::set<std::string> mHeldGone;
  prometheus::Counter& mPauses;
};

} // namespace skylarkwing::membership
