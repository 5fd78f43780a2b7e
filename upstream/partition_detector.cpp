#include "upstream/partition_detector.h"

#include "core/name_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<PartitionState, 3> kStateNames{
  { "connected", "checking", "partitioned" }
};
constexpr core::NameTable<PartitionTrigger, 3> kTriggerNames{
  { "silence", "connect_failures", "failed_request" }
};
constexpr core::NameTable<PartitionVerdict, 5> kVerdictNames{
  { "connected", "partitioned", "replicas_down", "peers_silent", "no_peers" }
};

} // namespace

std::string_view
NameOf(PartitionState aState)
{
  return kStateNames.NameOf(aState);
}

std::string_view
NameOf(PartitionTrigger aTrigger)
{
  return kTriggerNames.NameOf(aTrigger);
}

std::string_view
NameOf(PartitionVerdict aVerdict)
{
  return kVerdictNames.NameOf(aVerdict);
}

PartitionDetector::PartitionDetector(core::TimerService& aTimers)
  : mTimers(aTimers)
  , mStateSince(aTimers.Now())
{
}

PartitionDetector::~PartitionDetector()
{
  *mIsAlive = false;
  mTimers.Cancel(mTimer);
}

void
PartitionDetector::RecordAnswer()
{
  mLastAnswer = mTimers.Now();
  // Connections that were opened before a cut may live on, so that only a connection contradicts
  // failures to connect.
  if (mState == PartitionState::Checking && mReport.trigger == PartitionTrigger::Silence) {
    EndCheck(PartitionVerdict::Connected);
  }
}

void
PartitionDetector::RecordConnected()
{
  mLastConnected = mTimers.Now();
  mFailedConnects.clear();
  if (mState == PartitionState::Checking) {
    EndCheck(PartitionVerdict::Connected);
  } else if (mState == PartitionState::Partitioned) {
    mReport.verdict = PartitionVerdict::Connected;
    SetState(PartitionState::Connected);
  }
}

void
PartitionDetector::RecordConnectFailure(const std::string& aReplica, const std::string& aService)
{
  mFailedConnects.insert_or_assign(aReplica, aService);
  std::set<std::string_view> services;
  for (const auto& [replica, service] : mFailedConnects) {
    services.insert(service);
  }
  if (IsEnough({ mFailedConnects.size(), services.size() })) {
    StartCheck(PartitionTrigger::ConnectFailures, mFailedConnects.size());
  }
}

bool
PartitionDetector::IsSilent() const
{
  const auto contact = LastContact();
  return mState == PartitionState::Connected &&
         (!contact || mTimers.Now() - *contact >= kMaxSilence);
}

void
PartitionDetector::ReviewSilence(SilentReplicas aSilent)
{
  if (IsSilent() && IsEnough(aSilent)) {
    StartCheck(PartitionTrigger::Silence, aSilent.replicas);
  }
}

void
PartitionDetector::RecordPeerContact(core::TimePoint aAt)
{
  // Contact before the check began says nothing about replicas that have ended for all daemons.
  if (mState != PartitionState::Checking || aAt < mCheckStart) {
    return;
  }
  mHasPeerContact = true;
  ReviewCheck();
}

void
PartitionDetector::JudgeFailure(core::TimePoint aArrival, VerdictFunction aCallback)
{
  if (mState == PartitionState::Connected && HasContactSince(aArrival)) {
    aCallback(PartitionVerdict::Connected);
    return;
  }
  StartCheck(PartitionTrigger::FailedRequest, mFailedConnects.size());
  ReportVerdict(std::move(aCallback));
}

void
PartitionDetector::JudgeLoss(core::TimePoint aLostAt, VerdictFunction aCallback)
{
  if (mState == PartitionState::Connected && !HasContactSince(aLostAt)) {
    mNextCheck = {};
  }
  JudgeFailure(aLostAt, std::move(aCallback));
}

bool
PartitionDetector::HasContactSince(core::TimePoint aTime) const
{
  const auto contact = LastContact();
  return contact && *contact > aTime;
}

void
PartitionDetector::ReportVerdict(VerdictFunction aCallback)
{
  if (mState == PartitionState::Checking) {
    mAwaitingVerdict.push_back(std::move(aCallback));
  } else {
    aCallback(mReport.verdict);
  }
}

bool
PartitionDetector::HasRecentAnswer() const
{
  return mLastAnswer && mTimers.Now() - *mLastAnswer < kMaxSilence;
}

std::optional<core::TimePoint>
PartitionDetector::LastContact() const
{
  return std::max(mLastAnswer, mLastConnected);
}

bool
PartitionDetector::IsEnough(SilentReplicas aEvidence) const
{
  return aEvidence.replicas >= std::min(kMinReplicas, std::max<std::size_t>(1, mAll.replicas)) &&
         aEvidence.services >= std::min(kMinServices, std::max<std::size_t>(1, mAll.services));
}

void
PartitionDetector::StartCheck(PartitionTrigger aTrigger, std::size_t aReplicas)
{
  const core::TimePoint now = mTimers.Now();
  if (mState != PartitionState::Connected || now < mNextCheck) {
    return;
  }
  mCheckStart = now;
  mReport = {};
  mReport.trigger = aTrigger;
  mReport.replicas = aReplicas;
  mReport.silentFor = now - LastContact().value_or(now);
  mHaveProbesFailed = false;
  mHasPeers = false;
  mHasPeerReply = false;
  mHasPeerContact = false;
  SetState(PartitionState::Checking);
  AskPeers();
  Probe();
}

void
PartitionDetector::Probe()
{
  if (mIsProbing) {
    return;
  }
  mIsProbing = true;
  mHooks.probeReplicas([this, isAlive = mIsAlive, start = mTimers.Now()](bool aIsConnected) {
    if (*isAlive) {
      mIsProbing = false;
      OnProbed(start, aIsConnected);
    }
  });
}

void
PartitionDetector::OnProbed(core::TimePoint aStart, bool aIsConnected)
{
  if (aIsConnected) {
    RecordConnected();
  } else if (mState == PartitionState::Checking && aStart < mCheckStart) {
    // It was started for an earlier partition.
    Probe();
  } else if (mState == PartitionState::Checking) {
    mHaveProbesFailed = true;
    ReviewCheck();
  } else if (IsPartitioned()) {
    ScheduleNext(kProbeInterval, &PartitionDetector::Probe);
  }
}

void
PartitionDetector::AskPeers()
{
  if (mState != PartitionState::Checking) {
    return;
  }
  if (mTimers.Now() - mCheckStart >= kMaxCheckTime) {
    EndCheck(mHasPeerReply ? PartitionVerdict::ReplicasDown : PartitionVerdict::PeersSilent);
    return;
  }
  ScheduleNext(kAskInterval, &PartitionDetector::AskPeers);
  if (!mHasPeerContact) {
    mHasPeers = mHooks.askPeers() > 0 || mHasPeers;
  }
}

void
PartitionDetector::ReviewCheck()
{
  if (mHaveProbesFailed && mHasPeerContact) {
    EndCheck(PartitionVerdict::Partitioned);
  } else if (mHaveProbesFailed && !mHasPeers) {
    EndCheck(PartitionVerdict::NoPeers);
  }
}

void
PartitionDetector::EndCheck(PartitionVerdict aVerdict)
{
  const core::TimePoint now = mTimers.Now();
  mReport.verdict = aVerdict;
  mReport.took = now - mCheckStart;
  mNextCheck = now + (aVerdict == PartitionVerdict::ReplicasDown ? kPauseAfterReplicasDown
                                                                 : kPauseAfterConnected);
  mTimers.Cancel(std::exchange(mTimer, 0));
  const bool isPartitioned = aVerdict == PartitionVerdict::Partitioned;
  mHooks.onChecked(mReport);
  SetState(isPartitioned ? PartitionState::Partitioned : PartitionState::Connected);
  if (isPartitioned) {
    ScheduleNext(kProbeInterval, &PartitionDetector::Probe);
  }
  for (const auto& callback : std::exchange(mAwaitingVerdict, {})) {
    callback(aVerdict);
  }
}

void
PartitionDetector::SetState(PartitionState aState)
{
  const bool wasPartitioned = IsPartitioned();
  mState = aState;
  if (wasPartitioned != IsPartitioned()) {
    mStateSince = mTimers.Now();
    mFailedConnects.clear();
    mTimers.Cancel(std::exchange(mTimer, 0));
  }
  mHooks.onStateChange(aState);
}

void
PartitionDetector::ScheduleNext(core::Duration aDelay, void (PartitionDetector::*aStep)())
{
  mTimers.Cancel(mTimer);
  mTimer = mTimers.Schedule(aDelay, [this, aStep] {
    mTimer = 0;
    (this->*aStep)();
  });
}

} // namespace skylarkwing::upstream
