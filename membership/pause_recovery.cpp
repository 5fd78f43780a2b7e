#include "membership/pause_recovery.h"

#include "core/log.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

/** A process whose timer is this late was paused; peers may consider it gone. */
constexpr milliseconds kPauseThreshold{ 1000 };

/** How long a process waits for the answers of its monitors, and how long their answers count. */
constexpr milliseconds kMaxRecoveryTime{ 1000 };

} // namespace

PauseRecovery::PauseRecovery(core::TimerService& aTimers,
                             core::Metrics& aMetrics,
                             PauseRecoveryHooks aHooks)
  : mTimers(aTimers)
  , mHooks(std::move(aHooks))
  , mLastRunAt(aTimers.Now())
  , mPauses(aMetrics.Counter("skylarkwing_membership_own_pauses_total",
                             "Times that this process noticed that it had stood still."))
{
}

void
PauseRecovery::RecordRun(core::Duration aLateness)
{
  mLastRunAt = mTimers.Now();
  if (aLateness > core::Duration(kPauseThreshold)) {
    StartRecovery(aLateness);
  }
}

void
PauseRecovery::HandleAnswer(const std::string& aVm, bool aWasGone)
{
  if (mTimers.Now() - mAnswersSince > core::Duration(kMaxRecoveryTime)) {
    ClearAnswers();
  }
  mAnswered.insert(aVm);
  if (aWasGone) {
    mAnsweredGone.insert(aVm);
  }
  const std::size_t voters = mHooks.monitorCount() + 1;
  // When only a few considered this daemon gone, it was they who were cut off.
  if (2 * mAnsweredGone.size() > voters) {
    mAnsweredGone.clear();
    core::LogEvent(core::LogLevel::Warning, "membership", "was_held_for_gone", {});
    mHooks.onWasGone();
  }
  if (2 * mAnswered.size() > voters && IsRecovering()) {
    mRecoveringUntil = mTimers.Now();
  }
}

bool
PauseRecovery::IsRecovering() const
{
  const core::TimePoint now = mTimers.Now();
  // After a pause, other code may run before the timer that detects it.
  return now < mRecoveringUntil || now - mLastRunAt > core::Duration(kPauseThreshold);
}

void
PauseRecovery::StartRecovery(core::Duration aPause)
{
  mPauses.Increment();
  const auto ms = std::chrono::duration_cast<milliseconds>(aPause).count();
  core::LogEvent(core::LogLevel::Warning,
                 "membership",
                 "own_pause_noticed",
                 { { "pause_ms", std::to_string(ms) } });
  mRecoveringUntil = mTimers.Now() + kMaxRecoveryTime;
  ClearAnswers();
  mHooks.askMonitors();
}

void
PauseRecovery::ClearAnswers()
{
  mAnswered.clear();
  mAnsweredGone.clear();
  mAnswersSince = mTimers.Now();
}

} // namespace skylarkwing::membership
