#include "membership/pause_recovery.h"

#include "core/log.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

/** A process that runs this much late was paused: others may hold it for gone. */
constexpr milliseconds kPause{ 1000 };

/** How long a process waits to hear how its peers hold it, and how long what they say counts. */
constexpr milliseconds kMaxRecovery{ 1000 };

} // namespace

PauseRecovery::PauseRecovery(core::TimerService& aTimers,
                             core::Metrics& aMetrics,
                             PauseRecoveryHooks aHooks)
  : mTimers(aTimers)
  , mHooks(std::move(aHooks))
  , mRanAt(aTimers.Now())
  , mPauses(aMetrics.Counter("skylarkwing_membership_own_pauses_total",
                             "Times that this process noticed that it had stood still."))
{
}

void
PauseRecovery::NoteRunning(core::Duration aLateness)
{
  mRanAt = mTimers.Now();
  if (aLateness > core::Duration(kPause)) {
    BeginRecovery(aLateness);
  }
}

void
PauseRecovery::Hear(const std::string& aVm, bool aWasGone)
{
  if (mTimers.Now() - mSince > core::Duration(kMaxRecovery)) {
    Forget();
  }
  mHeard.insert(aVm);
  if (aWasGone) {
    mHeldGone.insert(aVm);
  }
  const std::size_t all = mHooks.monitors() + 1;
  // When only a few held this daemon for gone, they were the ones that were cut off.
  if (2 * mHeldGone.size() > all) {
    mHeldGone.clear();
    core::LogEvent(core::LogLevel::Warning, "membership", "was_held_for_gone", {});
    mHooks.onWasGone();
  }
  if (2 * mHeard.size() > all && IsRecovering()) {
    mRecoveringUntil = mTimers.Now();
  }
}

bool
PauseRecovery::IsRecovering() const
{
  const core::TimePoint now = mTimers.Now();
  // The first thing to run after a pause need not be the timer that notices it.
  return now < mRecoveringUntil || now - mRanAt > core::Duration(kPause);
}

void
PauseRecovery::BeginRecovery(core::Duration aPause)
{
  mPauses.Increment();
  const auto ms = std::chrono::duration_cast<milliseconds>(aPause).count();
  core::LogEvent(core::LogLevel::Warning,
                 "membership",
                 "own_pause_noticed",
                 { { "pause_ms", std::to_string(ms) } });
  mRecoveringUntil = mTimers.Now() + kMaxRecovery;
  Forget();
  mHooks.ask();
}

void
PauseRecovery::Forget()
{
  mHeard.clear();
  mHeldGone.clear();
  mSince = mTimers.Now();
}

} // namespace skylarkwing::membership
