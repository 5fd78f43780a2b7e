#include "upstream/replica_health.h"

#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr std::chrono::seconds kRecentAnswerAge{ 1 };
// For this long the load endpoint may still report a draining upstream as serving.
constexpr std::chrono::seconds kDrainNoticeTtl{ 30 };
constexpr std::chrono::milliseconds kDefaultRunTime{ 1 };

} // namespace

ReplicaHealth::ReplicaHealth(const core::TimerService& aTimers,
                             const declaration::UpstreamLimits& aLimits,
                             ReplicaLifecycle::Listener aListener)
  : mTimers(aTimers)
  , mLifecycle([this, listener = std::move(aListener)](ReplicaState aFrom, ReplicaState aTo) {
    if (aTo != ReplicaState::Warm) {
      mRamp.Drop();
    }
    listener(aFrom, aTo);
  })
  , mRamp(aLimits.coldSlots, aLimits.slots)
{
}

bool
ReplicaHealth::IsServing() const
{
  return !mHasLostOwnership && (State() == ReplicaState::Warm || NeedsPermit());
}

bool
ReplicaHealth::NeedsPermit() const
{
  const ReplicaState state = State();
  return state == ReplicaState::Unknown || state == ReplicaState::Cold ||
         state == ReplicaState::Warming;
}

std::uint32_t
ReplicaHealth::Allowance() const
{
  return IsServing() ? mRamp.Allowance() : 0;
}

core::Duration
ReplicaHealth::RunTime() const
{
  const std::uint32_t median = mLatency.Median();
  if (median == 0) {
    return kDefaultRunTime;
  }
  return std::chrono::microseconds(median);
}

bool
ReplicaHealth::HasRecentAnswer() const
{
  return mTimers.Now() - mLastAnswer < kRecentAnswerAge;
}

void
ReplicaHealth::SetDomainOut(bool aIsOut)
{
  if (aIsOut) {
    mLifecycle.Process(DomainOut{});
  } else {
    mLifecycle.Process(DomainIn{});
  }
}

void
ReplicaHealth::LoseOwnership()
{
  mHasLostOwnership = true;
  mLifecycle.Process(OwnershipLost{});
}

void
ReplicaHealth::RecordUnreachable()
{
  mLifecycle.Process(Unreachable{});
}

void
ReplicaHealth::RecordPermitLost()
{
  mLifecycle.Process(PermitLost{});
}

bool
ReplicaHealth::RecordProcess(const std::string& aIncarnation)
{
  if (aIncarnation.empty() || aIncarnation == mIncarnation) {
    return false;
  }
  const bool isFirst = mIncarnation.empty();
  mIncarnation = aIncarnation;
  mLatency.Reset();
  mRamp.Drop();
  mDrainNotice = {};
  mLastAnswer = {};
  if (!isFirst && !mHasLostOwnership) {
    mLifecycle.Process(IncarnationChanged{});
  }
  return true;
}

void
ReplicaHealth::RecordLoad(UpstreamState aState)
{
  // The upstream's own notice takes precedence over the endpoint, which lags.
  if (mHasLostOwnership || IsDrainNoticeFresh()) {
    return;
  }
  mLifecycle.Process(Connected{});
  if (!HasRecentAnswer()) {
    mLifecycle.Process(LoadReported{ aState });
  }
}

void
ReplicaHealth::RecordNotice(const ProcessNotice& aNotice)
{
  if (mHasLostOwnership || aNotice.incarnation != mIncarnation || !aNotice.state) {
    return;
  }
  if (*aNotice.state == UpstreamState::Draining) {
    mDrainNotice = mTimers.Now();
  }
  // Only an answer to a search shows that a replica is warm.
  if (*aNotice.state != UpstreamState::Warm) {
    mLifecycle.Process(LoadReported{ *aNotice.state });
  }
}

void
ReplicaHealth::RecordReply(const SearchReply& aReply, core::Duration aTook)
{
  // An answer of a former process is valid, but says nothing about the present one.
  if (aReply.incarnation != mIncarnation || mHasLostOwnership) {
    return;
  }
  mLastAnswer = mTimers.Now();
  if (aReply.state == UpstreamState::Draining) {
    mDrainNotice = mTimers.Now();
  }
  mLifecycle.Process(Answered{ aReply.state });
  const bool isShedForLoad =
    aReply.outcome == SearchOutcome::Shed && aReply.shedReason == ShedReason::Overloaded;
  if (isShedForLoad && State() == ReplicaState::Warm) {
    mRamp.BackOff();
  } else if (isShedForLoad) {
    mLifecycle.Process(Shed{});
  }
  if (aReply.outcome == SearchOutcome::Answered && aReply.state == UpstreamState::Warm) {
    RecordTime(aTook);
  }
}

void
ReplicaHealth::RecordFailure()
{
  mLifecycle.Process(RequestFailed{});
}

void
ReplicaHealth::RecordReset()
{
  mLastAnswer = {};
  mLifecycle.Process(ConnectionReset{});
}

bool
ReplicaHealth::IsDrainNoticeFresh() const
{
  return mTimers.Now() - mDrainNotice < kDrainNoticeTtl;
}

void
ReplicaHealth::RecordTime(core::Duration aTook)
{
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(aTook);
  const LatencyLevel level = mLatency.Record(static_cast<std::uint32_t>(took.count()));
  if (level == LatencyLevel::Slow) {
    return;
  }
  if (level == LatencyLevel::Elevated) {
    mLifecycle.Process(LatencyRose{});
    mRamp.Drop();
    return;
  }
  mRamp.RecordNormalAnswer();
  if (State() == ReplicaState::Warming && mRamp.IsComplete()) {
    mLifecycle.Process(RampCompleted{});
  }
}

} // namespace skylarkwing::upstream
