#include "membership/member_table.h"

#include "core/name_table.h"
#include "membership/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwing::membership {

namespace {

constexpr core::NameTable<ReportOutcome, 3> kOutcomeNames{ { "known", "changed", "outdated" } };

std::uint64_t
IdentityHashOf(const Member& aMember)
{
  return CombineHashes(HashOf(aMember.vm), HashOf(aMember.incarnation));
}

bool
MayOwn(const MemberEntry& aEntry, core::TimePoint aNow)
{
  const MemberState state = aEntry.member.state;
  const bool isPresent = state == MemberState::Alive || state == MemberState::Suspect;
  return isPresent && aNow >= aEntry.settledAt;
}

} // namespace

std::string_view
NameOf(ReportOutcome aOutcome)
{
  return kOutcomeNames.NameOf(aOutcome);
}

MemberTable::MemberTable(core::TimerService& aTimers, Member aSelf, MemberTableTimings aTimings)
  : mTimers(aTimers)
  , mTimings(aTimings)
{
  mSelf.member = std::move(aSelf);
  mSelf.member.state = MemberState::Alive;
  mSelf.identityHash = IdentityHashOf(mSelf.member);
  mSelf.aliveSince = mTimers.Now();
  mSelf.settledAt = mSelf.aliveSince + mTimings.newSettling;
}

void
MemberTable::MergeVmList(const std::vector<VmRecord>& aVms)
{
  std::set<std::string> listed;
  for (const auto& record : aVms) {
    listed.insert(record.vm);
    if (record.vm != mSelf.member.vm) {
      MergeListed(record);
    }
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const bool isListed = listed.count(it->first) > 0;
    const bool wasOnlyListed = it->second.member.state == MemberState::Joining;
    if (!isListed && wasOnlyListed) {
      it = mEntries.erase(it);
      continue;
    }
    if (!isListed) {
      MergeUnlisted(it->second);
    }
    ++it;
  }
}

ReportOutcome
MemberTable::HandleHeartbeat(const Member& aMember,
                             std::optional<bool> aIsMonitored,
                             core::Duration aAge)
{
  auto it = mEntries.find(aMember.vm);
  const bool isNew = it == mEntries.end();
  const Order order = isNew ? Order::Newer : CompareIncarnations(aMember, it->second.member);
  if (order == Order::Older) {
    return ReportOutcome::Outdated;
  }
  MemberEntry& entry = mEntries[aMember.vm];
  if (order == Order::Newer) {
    Replace(entry, aMember);
    RecordHeartbeat(entry, aIsMonitored, aAge);
    MarkOthersGoneAt(aMember);
    return ReportOutcome::Changed;
  }
  RecordHeartbeat(entry, aIsMonitored, aAge);
  if (aMember.state == MemberState::Leaving) {
    UpdateStatus(entry, aMember);
    const bool isChanged = entry.member.state != MemberState::Leaving;
    SetState(entry, MemberState::Leaving);
    return isChanged ? ReportOutcome::Changed : ReportOutcome::Known;
  }
  // A delayed heartbeat proves no more than a report.
  if (aAge >= mTimings.suspectAfter) {
    return HandleReport(aMember);
  }
  // A heartbeat older than a report about the same incarnation still proves that the sender is
  // alive.
  return ApplyAlive(entry, aMember);
}

ReportOutcome
MemberTable::HandleReport(const Member& aMember)
{
  auto it = mEntries.find(aMember.vm);
  if (it == mEntries.end()) {
    if (aMember.state == MemberState::Gone || aMember.incarnation.empty()) {
      return ReportOutcome::Known;
    }
    Insert(aMember);
    return ReportOutcome::Changed;
  }
  MemberEntry& entry = it->second;
  const Order order = CompareIncarnations(aMember, entry.member);
  if (order == Order::Older) {
    return ReportOutcome::Outdated;
  }
  if (order == Order::Newer) {
    Replace(entry, aMember);
    return ReportOutcome::Changed;
  }
  if (aMember.state == MemberState::Suspect || aMember.state == MemberState::Gone) {
    return ApplySuspicion(entry, aMember);
  }
  if (aMember.state == MemberState::Leaving) {
    const bool isNew =
      entry.member.state == MemberState::Alive || entry.member.state == MemberState::Suspect;
    if (isNew) {
      UpdateStatus(entry, aMember);
      SetState(entry, MemberState::Leaving);
    }
    return isNew ? ReportOutcome::Changed : ReportOutcome::Known;
  }
  if (aMember.heartbeatCount < entry.member.heartbeatCount) {
    return ReportOutcome::Outdated;
  }
  if (aMember.heartbeatCount == entry.member.heartbeatCount) {
    // A suspicion with the same heartbeat count takes precedence.
    const bool isSuspected =
      entry.member.state == MemberState::Suspect || entry.member.state == MemberState::Gone;
    return isSuspected ? ReportOutcome::Outdated : ReportOutcome::Known;
  }
  if (entry.member.state == MemberState::Suspect) {
    entry.silenceTimeout = std::min(2 * entry.silenceTimeout, mTimings.maxSilence);
  }
  return ApplyAlive(entry, aMember);
}

void
MemberTable::Evaluate()
{
  mCounts = MemberCounts{};
  ++mCounts.byState[static_cast<std::size_t>(mSelf.member.state)];
  mCounts.eligibleOwnersHash = MayOwn(mSelf, mTimers.Now()) ? mSelf.identityHash : 0;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    MemberEntry& entry = it->second;
    CheckSilence(entry);
    Count(entry);
    const bool isExpired = entry.isRemoved && entry.member.state == MemberState::Gone &&
                           mTimers.Now() - entry.goneSince >= mTimings.goneRetention;
    it = isExpired ? mEntries.erase(it) : std::next(it);
  }
}

void
MemberTable::Count(const MemberEntry& aEntry)
{
  const core::TimePoint now = mTimers.Now();
  const MemberState state = aEntry.member.state;
  const bool isActive = state == MemberState::Alive || state == MemberState::Leaving;
  const bool isAgreeing = isActive && aEntry.member.generation <= mSelf.member.generation;
  mCounts.byState[static_cast<std::size_t>(state)] += aEntry.isRemoved ? 0 : 1;
  mCounts.expected += !aEntry.isRemoved && !aEntry.hasLeft ? 1 : 0;
  mCounts.agreeing += isAgreeing ? 1 : 0;
  mCounts.heardDirectly += WasHeardRecently(aEntry) ? 1 : 0;
  // A sum does not depend on the order; no member is added twice.
  mCounts.eligibleOwnersHash += MayOwn(aEntry, now) ? aEntry.identityHash : 0;
}

void
MemberTable::RestartSilences()
{
  for (auto& [vm, entry] : mEntries) {
    entry.lastProgressAt = mTimers.Now();
    if (entry.member.state == MemberState::Suspect) {
      entry.suspectSince = mTimers.Now();
    }
  }
}

void
MemberTable::RestartSelfSettling()
{
  // Several peers report the same absence; a member can't be gone twice within this time.
  const core::Duration sinceReturn = mTimers.Now() - mSelf.aliveSince;
  if (sinceReturn < mTimings.suspectAfter + mTimings.goneAfter) {
    return;
  }
  Rejoin(mSelf);
}

const MemberEntry*
MemberTable::Find(const std::string& aVm) const
{
  const auto it = mEntries.find(aVm);
  return it != mEntries.end() ? &it->second : nullptr;
}

std::vector<Member>
MemberTable::Members() const
{
  std::vector<Member> members{ mSelf.member };
  for (const auto& [vm, entry] : mEntries) {
    if (!entry.isRemoved) {
      members.push_back(entry.member);
    }
  }
  return members;
}

std::vector<Member>
MemberTable::EligibleOwners() const
{
  const core::TimePoint now = mTimers.Now();
  std::vector<Member> members;
  if (MayOwn(mSelf, now)) {
    members.push_back(mSelf.member);
  }
  for (const auto& [vm, entry] : mEntries) {
    if (MayOwn(entry, now)) {
      members.push_back(entry.member);
    }
  }
  return members;
}

std::size_t
MemberTable::ExpectedCount() const
{
  std::size_t n = 1;
  for (const auto& [vm, entry] : mEntries) {
    n += !entry.isRemoved && !entry.hasLeft ? 1 : 0;
  }
  return n;
}

MemberTable::Order
MemberTable::CompareIncarnations(const Member& aReported, const Member& aKnown) const
{
  if (aReported.incarnation == aKnown.incarnation) {
    return Order::Same;
  }
  const std::pair reported(aReported.startOrder, aReported.incarnation);
  const std::pair known(aKnown.startOrder, aKnown.incarnation);
  return reported > known ? Order::Newer : Order::Older;
}

void
MemberTable::MergeListed(const VmRecord& aRecord)
{
  const bool isNew = mEntries.count(aRecord.vm) == 0;
  MemberEntry& entry = mEntries[aRecord.vm];
  entry.isInVmList = true;
  entry.isLeavingInVmList = aRecord.isLeaving;
  entry.isRemoved = false;
  if (!isNew) {
    return;
  }
  entry.silenceTimeout = mTimings.suspectAfter;
  entry.member.vm = aRecord.vm;
  entry.member.failureDomain = aRecord.failureDomain;
  entry.member.region = aRecord.region;
  entry.member.callerAddress = aRecord.callerAddress;
  entry.member.peerAddress = aRecord.peerAddress;
  if (mListener) {
    mListener(entry.member);
  }
}

void
MemberTable::MergeUnlisted(MemberEntry& aEntry)
{
  aEntry.isInVmList = false;
  aEntry.isLeavingInVmList = false;
  aEntry.isRemoved = aEntry.isRemoved || aEntry.member.state == MemberState::Gone;
}

MemberEntry&
MemberTable::Insert(const Member& aMember)
{
  MemberEntry& entry = mEntries[aMember.vm];
  Replace(entry, aMember);
  return entry;
}

void
MemberTable::Replace(MemberEntry& aEntry, const Member& aMember)
{
  const bool isInVmList = aEntry.isInVmList;
  const bool wasKnown = !aEntry.member.incarnation.empty();
  const std::uint32_t returns = aEntry.returns;
  aEntry = MemberEntry{};
  aEntry.member = aMember;
  aEntry.identityHash = IdentityHashOf(aMember);
  aEntry.isInVmList = isInVmList;
  aEntry.silenceTimeout = mTimings.suspectAfter;
  aEntry.aliveSince = mTimers.Now();
  // The heartbeat count gives all daemons the same settling end, whenever they learn of a process.
  const core::Duration uptime = mTimings.heartbeatPeriod * aMember.heartbeatCount;
  aEntry.settledAt =
    aEntry.aliveSince + std::max(mTimings.newSettling - uptime, core::Duration::zero());
  aEntry.lastProgressAt = mTimers.Now();
  aEntry.suspectSince = mTimers.Now();
  aEntry.goneSince = mTimers.Now();
  // A process that restarts repeatedly flaps like one that loses its network repeatedly.
  aEntry.returns = returns;
  if (wasKnown && returns > 0) {
    Rejoin(aEntry);
  }
  if (mListener) {
    mListener(aEntry.member);
  }
}

void
MemberTable::Rejoin(MemberEntry& aEntry)
{
  const core::TimePoint now = mTimers.Now();
  if (now - aEntry.aliveSince >= mTimings.flapWindow) {
    aEntry.returns = 0;
  }
  constexpr std::uint32_t kMaxDoublings = 10;
  const core::Duration settling =
    mTimings.returnSettling * (1U << std::min(aEntry.returns, kMaxDoublings));
  ++aEntry.returns;
  aEntry.aliveSince = now;
  aEntry.settledAt = now + std::min(settling, mTimings.maxSettling);
}

void
MemberTable::SetState(MemberEntry& aEntry, MemberState aState)
{
  const MemberState before = aEntry.member.state;
  if (before == aState) {
    return;
  }
  if (before == MemberState::Gone && aState == MemberState::Alive) {
    Rejoin(aEntry);
  }
  if (aState == MemberState::Suspect) {
    aEntry.suspectSince = mTimers.Now();
  }
  if (aState == MemberState::Gone) {
    aEntry.goneSince = mTimers.Now();
    aEntry.hasLeft = before == MemberState::Leaving;
    aEntry.isMonitored = false;
  }
  if (aState == MemberState::Alive) {
    aEntry.isRemoved = false;
    aEntry.hasLeft = false;
  }
  aEntry.member.state = aState;
  if (mListener) {
    mListener(aEntry.member);
  }
}

void
MemberTable::UpdateStatus(MemberEntry& aEntry, const Member& aMember)
{
  if (aMember.heartbeatCount < aEntry.member.heartbeatCount) {
    return;
  }
  if (aMember.heartbeatCount > aEntry.member.heartbeatCount) {
    aEntry.lastProgressAt = mTimers.Now();
  }
  aEntry.member.heartbeatCount = aMember.heartbeatCount;
  aEntry.member.generation = std::max(aEntry.member.generation, aMember.generation);
  aEntry.member.load = aMember.load;
  aEntry.member.identityEpoch = std::max(aEntry.member.identityEpoch, aMember.identityEpoch);
}

ReportOutcome
MemberTable::ApplySuspicion(MemberEntry& aEntry, const Member& aMember)
{
  const MemberState state = aEntry.member.state;
  if (state == MemberState::Gone || state == aMember.state) {
    return ReportOutcome::Known;
  }
  if (aMember.heartbeatCount < aEntry.member.heartbeatCount || WasHeardRecently(aEntry)) {
    return ReportOutcome::Outdated;
  }
  if (aMember.state == MemberState::Suspect && state == MemberState::Leaving) {
    return ReportOutcome::Known;
  }
  aEntry.member.heartbeatCount = aMember.heartbeatCount;
  SetState(aEntry, aMember.state);
  return ReportOutcome::Changed;
}

ReportOutcome
MemberTable::ApplyAlive(MemberEntry& aEntry, const Member& aMember)
{
  UpdateStatus(aEntry, aMember);
  if (aEntry.member.state == MemberState::Leaving) {
    return ReportOutcome::Known;
  }
  // A member that left does not return: its last heartbeats may arrive after the report that it is
  // gone.
  if (aEntry.member.state == MemberState::Gone && aEntry.hasLeft) {
    return ReportOutcome::Outdated;
  }
  const bool isNew = aEntry.member.state != MemberState::Alive;
  SetState(aEntry, MemberState::Alive);
  return isNew ? ReportOutcome::Changed : ReportOutcome::Known;
}

bool
MemberTable::WasHeardRecently(const MemberEntry& aEntry) const
{
  return aEntry.lastHeartbeatAt && mTimers.Now() - *aEntry.lastHeartbeatAt < mTimings.suspectAfter;
}

void
MemberTable::RecordHeartbeat(MemberEntry& aEntry,
                             std::optional<bool> aIsMonitored,
                             core::Duration aAge)
{
  const core::TimePoint sent = mTimers.Now() - aAge;
  aEntry.lastHeartbeatAt = std::max(aEntry.lastHeartbeatAt.value_or(sent), sent);
  aEntry.isMonitored = aIsMonitored.value_or(aEntry.isMonitored);
  if (aAge < mTimings.suspectAfter) {
    aEntry.lastProgressAt = mTimers.Now();
    aEntry.silenceTimeout = mTimings.suspectAfter;
  }
}

void
MemberTable::CheckSilence(MemberEntry& aEntry)
{
  const core::TimePoint now = mTimers.Now();
  const MemberState state = aEntry.member.state;
  if (state == MemberState::Suspect && now - aEntry.suspectSince >= mTimings.goneAfter) {
    SetState(aEntry, MemberState::Gone);
    return;
  }
  const core::Duration silence = now - aEntry.lastProgressAt;
  const core::Duration timeout = SilenceTimeoutOf(aEntry);
  if (state == MemberState::Alive && silence >= timeout) {
    SetState(aEntry, MemberState::Suspect);
    return;
  }
  if (state == MemberState::Leaving && silence >= timeout + mTimings.goneAfter) {
    SetState(aEntry, MemberState::Gone);
  }
}

core::Duration
MemberTable::SilenceTimeoutOf(const MemberEntry& aEntry) const
{
  if (aEntry.isMonitored) {
    return aEntry.silenceTimeout;
  }
  return mTimings.unmonitoredSilence + mTimings.unmonitoredSilencePerMember * mEntries.size();
}

void
MemberTable::MarkOthersGoneAt(const Member& aMember)
{
  for (auto& [vm, entry] : mEntries) {
    const bool isSameAddress = entry.member.peerAddress == aMember.peerAddress;
    if (vm == aMember.vm || !isSameAddress || aMember.peerAddress.empty()) {
      continue;
    }
    const bool isPresent = entry.member.state != MemberState::Gone;
    if (isPresent && entry.member.startOrder < aMember.startOrder) {
      SetState(entry, MemberState::Gone);
    }
  }
}

} // namespace skylarkwing::membership
