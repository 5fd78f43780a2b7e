#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>

namespace skylarkwing::membership {

/** Access to the monitors, for PauseRecovery. */
struct PauseRecoveryHooks
{
  /** Asks the monitors whether they considered this daemon gone. */
  std::function<void()> askMonitors;
  /** @return how many peers receive this daemon's heartbeats. */
  std::function<std::size_t()> monitorCount;
  /** Called when most of them considered this daemon gone, so that its replicas have new owners. */
  std::function<void()> onWasGone;
};

/**
 * Finds out whether peers considered this daemon gone. It cannot see that itself: after a pause of
 * this process or a network cut, its member table still has the earlier states.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class PauseRecovery
{
public:
  PauseRecovery(core::TimerService& aTimers, core::Metrics& aMetrics, PauseRecoveryHooks aHooks);

  /** Records that this process runs, and how late; a long delay was a pause. */
  void RecordRun(core::Duration aLateness);

  /** Handles a peer's answer whether it considered this daemon gone. */
  void HandleAnswer(const std::string& aVm, bool aWasGone);

  /** @return whether this process was paused and has not yet heard from most of its monitors. */
  bool IsRecovering() const;

private:
  void StartRecovery(core::Duration aPause);
  void ClearAnswers();

  core::TimerService& mTimers;
  PauseRecoveryHooks mHooks;
  core::TimePoint mLastRunAt;
  core::TimePoint mRecoveringUntil;
  core::TimePoint mAnswersSince;
  std::set<std::string> mAnswered;
  /** Those of mAnswered that considered this daemon gone. */
  std::set<std::string> mAnsweredGone;
  prometheus::Counter& mPauses;
};

} // namespace skylarkwing::membership
