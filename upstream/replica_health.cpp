#include "upstream/replica_health.h"

#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr std::chrono::seconds kRecentAnswer{ 1 };
// The load endpoint may say for this long that a draining upstream is not.
constexpr std::chrono::seconds kDrainNoticeTime{ 30 };
constexpr std::chrono::milliseconds kDefaultRunTime{ 1 };

} // namespace

ReplicaHealth::ReplicaHealth(const core::TimerService& aTimers,
                             const declaration::UpstreamLimits& aLimits,
                             ReplicaLifecycle::Listener aListener)
  : mTimers(aTimers)
  , mLife([this, listener = std::move(aListener)](ReplicaState aFrom, ReplicaState aTo) {
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
  return !mIsLost && (State() == ReplicaState::Warm || NeedsPermit());
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
  return mTimers.Now() - mLastAnswer < kRecentAnswer;
}

void
ReplicaHealth::SetDomainOut(bool aIsOut)
{
  if (aIsOut) {
    mLife.Process(DomainOut{});
  } else {
    mLife.Process(DomainIn{});
  }
}

void
ReplicaHealth::LoseOwnership()
{
  mIsLost = true;
  mLife.Process(OwnershipLost{});
}

void
ReplicaHealth::RecordUnreachable()
{
  mLife.Process(Unreachable{});
}

void
ReplicaHealth::RecordPermitLost()
{
  mLife.Process(PermitLost{});
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
  if (!isFirst && !mIsLost) {
    mLife.Process(IncarnationChanged{});
  }
  return true;
}

void
ReplicaHealth::RecordLoad(UpstreamState aState)
{
  // The upstream's own notice outranks the endpoint, which lags.
  if (mIsLost || IsDrainNoticeFresh()) {
    return;
  }
  mLife.Process(Connected{});
  if (!HasRecentAnswer()) {
    mLife.Process(LoadReported{ aState });
  }
}

void
ReplicaHealth::RecordNotice(const ProcessNotice& aNotice)
{
  if (mIsLost || aNotice.incarnation != mIncarnation || !aNotice.state) {
    return;
  }
  if (*aNotice.state == UpstreamState::Draining) {
    mDrainNotice = mTimers.Now();
  }
  // Only an answer to a search shows that a replica is warm.
  if (*aNotice.state != UpstreamState::Warm) {
    mLife.Process(LoadReported{ *aNotice.state });
  }
}

void
ReplicaHealth::RecordReply(const SearchReply& aReply, core::Duration aTook)
{
  // An answer of a former process is whole, but says nothing about the present one.
  if (aReply.incarnation != mIncarnation || mIsLost) {
    return;
  }
  mLastAnswer = mTimers.Now();
  if (aReply.state == UpstreamState::Draining) {
    mDrainNotice = mTimers.Now();
  }
  mLife.Process(Answered{ aReply.state });
  const bool isShedForLoad =
    aReply.outcome == SearchOutcome::Shed && aReply.shedReason == ShedReason::Overloaded;
  if (isShedForLoad && State() == ReplicaState::Warm) {
    mRamp.BackOff();
  } else if (isShedForLoad) {
    mLife.Process(Shed{});
  }
  if (aReply.outcome == SearchOutcome::Answered && aReply.state == UpstreamState::Warm) {
    RecordTime(aTook);
  }
}

void
ReplicaHealth::RecordFailure()
{
  mLife.Process(RequestFailed{});
}

void
ReplicaHealth::RecordReset()
{
  mLastAnswer = {};
  mLife.Process(ConnectionReset{});
}

bool
ReplicaHealth::IsDrainNoticeFresh() const
{
  return mTimers.Now() - mDrainNotice < kDrainNoticeTime;
}

void
ReplicaHealth::RecordTime(core::Duration aTook)
{
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(aTook);
  const LatencyLevel risk = mLatency.Record(static_cast<std::uint32_t>(took.count()));
  if (risk == LatencyLevel::Slow) {
    return;
  }
  if (risk == LatencyLevel::Elevated) {
    mLife.Process(LatencyRose{});
    mRamp.Drop();
    return;
  }
  mRamp.RecordCalm();
  if (State() == ReplicaState::Warming && mRamp.IsComplete()) {
    mLife.Process(RampCompleted{});
  }
}

} // namespace skylarkwing::upstream
