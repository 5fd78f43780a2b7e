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
  const bool isThere = state == MemberState::Alive || state == MemberState::Suspect;
  return isThere && aNow >= aEntry.settledAt;
}

} // namespace

std::string_view
NameOf(ReportOutcome aOutcome)
{
  return kOutcomeNames.NameOf(aOutcome);
}

MemberTable::MemberTable(core::TimerService& aTimers, Member aSelf, MemberTableLimits aLimits)
  : mTimers(aTimers)
  , mLimits(aLimits)
{
  mSelf.member = std::move(aSelf);
  mSelf.member.state = MemberState::Alive;
  mSelf.identityHash = IdentityHashOf(mSelf.member);
  mSelf.aliveSince = mTimers.Now();
  mSelf.settledAt = mSelf.aliveSince + mLimits.newSettling;
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
MemberTable::HearHeartbeat(const Member& aMember, std::optional<bool> aWatched, core::Duration aAge)
{
  auto it = mEntries.find(aMember.vm);
  const bool isNew = it == mEntries.end();
  const Order order = isNew ? Order::Newer : OrderOf(aMember, it->second.member);
  if (order == Order::Older) {
    return ReportOutcome::Outdated;
  }
  MemberEntry& entry = mEntries[aMember.vm];
  if (order == Order::Newer) {
    Replace(entry, aMember);
    NoteHeartbeat(entry, aWatched, aAge);
    EndOthersAt(aMember);
    return ReportOutcome::Changed;
  }
  NoteHeartbeat(entry, aWatched, aAge);
  if (aMember.state == MemberState::Leaving) {
    TakeVitals(entry, aMember);
    const bool isNews = entry.member.state != MemberState::Leaving;
    SetState(entry, MemberState::Leaving);
    return isNews ? ReportOutcome::Changed : ReportOutcome::Known;
  }
  // A heartbeat that waited proves no more than a report does.
  if (aAge >= mLimits.suspectAfter) {
    return HearReport(aMember);
  }
  // A heartbeat that was overtaken by newer news of the same life still proves that life.
  return TakeLife(entry, aMember);
}

ReportOutcome
MemberTable::HearReport(const Member& aMember)
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
  const Order order = OrderOf(aMember, entry.member);
  if (order == Order::Older) {
    return ReportOutcome::Outdated;
  }
  if (order == Order::Newer) {
    Replace(entry, aMember);
    return ReportOutcome::Changed;
  }
  if (aMember.state == MemberState::Suspect || aMember.state == MemberState::Gone) {
    return TakeDoubt(entry, aMember);
  }
  if (aMember.state == MemberState::Leaving) {
    const bool isNew =
      entry.member.state == MemberState::Alive || entry.member.state == MemberState::Suspect;
    if (isNew) {
      TakeVitals(entry, aMember);
      SetState(entry, MemberState::Leaving);
    }
    return isNew ? ReportOutcome::Changed : ReportOutcome::Known;
  }
  if (aMember.beat < entry.member.beat) {
    return ReportOutcome::Outdated;
  }
  if (aMember.beat == entry.member.beat) {
    // A doubt that was raised at the same heartbeat outweighs it.
    const bool isDoubted =
      entry.member.state == MemberState::Suspect || entry.member.state == MemberState::Gone;
    return isDoubted ? ReportOutcome::Outdated : ReportOutcome::Known;
  }
  if (entry.member.state == MemberState::Suspect) {
    entry.toleratedSilence = std::min(2 * entry.toleratedSilence, mLimits.longestSilence);
  }
  return TakeLife(entry, aMember);
}

void
MemberTable::Judge()
{
  mCounts = MemberCounts{};
  ++mCounts.byState[static_cast<std::size_t>(mSelf.member.state)];
  mCounts.ownersHash = MayOwn(mSelf, mTimers.Now()) ? mSelf.identityHash : 0;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    MemberEntry& entry = it->second;
    JudgeSilence(entry);
    Count(entry);
    const bool isOver = entry.isForgotten && entry.member.state == MemberState::Gone &&
                        mTimers.Now() - entry.goneSince >= mLimits.goneMemory;
    it = isOver ? mEntries.erase(it) : std::next(it);
  }
}

void
MemberTable::Count(const MemberEntry& aEntry)
{
  const core::TimePoint now = mTimers.Now();
  const MemberState state = aEntry.member.state;
  const bool isHeardOf = state == MemberState::Alive || state == MemberState::Leaving;
  const bool isAgreeing = isHeardOf && aEntry.member.generation <= mSelf.member.generation;
  mCounts.byState[static_cast<std::size_t>(state)] += aEntry.isForgotten ? 0 : 1;
  mCounts.known += !aEntry.isForgotten && !aEntry.isDeparted ? 1 : 0;
  mCounts.agreeing += isAgreeing ? 1 : 0;
  mCounts.heard += WasHeardLately(aEntry) ? 1 : 0;
  // A sum does not depend on the order, and no member is in it twice.
  mCounts.ownersHash += MayOwn(aEntry, now) ? aEntry.identityHash : 0;
}

void
MemberTable::ExcuseSilences()
{
  for (auto& [vm, entry] : mEntries) {
    entry.seenToRun = mTimers.Now();
    if (entry.member.state == MemberState::Suspect) {
      entry.suspectSince = mTimers.Now();
    }
  }
}

void
MemberTable::ReturnSelf()
{
  // Its peers tell one after another, and nobody goes twice within the time that going takes.
  const core::Duration sinceReturn = mTimers.Now() - mSelf.aliveSince;
  if (sinceReturn < mLimits.suspectAfter + mLimits.goneAfter) {
    return;
  }
  Revive(mSelf);
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
    if (!entry.isForgotten) {
      members.push_back(entry.member);
    }
  }
  return members;
}

std::vector<Member>
MemberTable::Owners() const
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
MemberTable::KnownCount() const
{
  std::size_t n = 1;
  for (const auto& [vm, entry] : mEntries) {
    n += !entry.isForgotten && !entry.isDeparted ? 1 : 0;
  }
  return n;
}

MemberTable::Order
MemberTable::OrderOf(const Member& aReported, const Member& aKnown) const
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
  entry.isForgotten = false;
  if (!isNew) {
    return;
  }
  entry.toleratedSilence = mLimits.suspectAfter;
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
  aEntry.isForgotten = aEntry.isForgotten || aEntry.member.state == MemberState::Gone;
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
  const bool wasThere = !aEntry.member.incarnation.empty();
  const std::uint32_t returns = aEntry.returns;
  aEntry = MemberEntry{};
  aEntry.member = aMember;
  aEntry.identityHash = IdentityHashOf(aMember);
  aEntry.isInVmList = isInVmList;
  aEntry.toleratedSilence = mLimits.suspectAfter;
  aEntry.aliveSince = mTimers.Now();
  // All daemons agree on how long a process has run, whenever they came to hear of it.
  const core::Duration ran = mLimits.heartbeatPeriod * aMember.beat;
  aEntry.settledAt =
    aEntry.aliveSince + std::max(mLimits.newSettling - ran, core::Duration::zero());
  aEntry.seenToRun = mTimers.Now();
  aEntry.suspectSince = mTimers.Now();
  aEntry.goneSince = mTimers.Now();
  // A process that restarts again and again flaps like one whose network does.
  aEntry.returns = returns;
  if (wasThere && returns > 0) {
    Revive(aEntry);
  }
  if (mListener) {
    mListener(aEntry.member);
  }
}

void
MemberTable::Revive(MemberEntry& aEntry)
{
  const core::TimePoint now = mTimers.Now();
  if (now - aEntry.aliveSince >= mLimits.flapMemory) {
    aEntry.returns = 0;
  }
  constexpr std::uint32_t kMostDoublings = 10;
  const core::Duration settling =
    mLimits.returnSettling * (1U << std::min(aEntry.returns, kMostDoublings));
  ++aEntry.returns;
  aEntry.aliveSince = now;
  aEntry.settledAt = now + std::min(settling, mLimits.longestSettling);
}

void
MemberTable::SetState(MemberEntry& aEntry, MemberState aState)
{
  const MemberState before = aEntry.member.state;
  if (before == aState) {
    return;
  }
  if (before == MemberState::Gone && aState == MemberState::Alive) {
    Revive(aEntry);
  }
  if (aState == MemberState::Suspect) {
    aEntry.suspectSince = mTimers.Now();
  }
  if (aState == MemberState::Gone) {
    aEntry.goneSince = mTimers.Now();
    aEntry.isDeparted = before == MemberState::Leaving;
    aEntry.isWatched = false;
  }
  if (aState == MemberState::Alive) {
    aEntry.isForgotten = false;
    aEntry.isDeparted = false;
  }
  aEntry.member.state = aState;
  if (mListener) {
    mListener(aEntry.member);
  }
}

void
MemberTable::TakeVitals(MemberEntry& aEntry, const Member& aMember)
{
  if (aMember.beat < aEntry.member.beat) {
    return;
  }
  if (aMember.beat > aEntry.member.beat) {
    aEntry.seenToRun = mTimers.Now();
  }
  aEntry.member.beat = aMember.beat;
  aEntry.member.generation = std::max(aEntry.member.generation, aMember.generation);
  aEntry.member.load = aMember.load;
  aEntry.member.identityEpoch = std::max(aEntry.member.identityEpoch, aMember.identityEpoch);
}

ReportOutcome
MemberTable::TakeDoubt(MemberEntry& aEntry, const Member& aMember)
{
  const MemberState state = aEntry.member.state;
  if (state == MemberState::Gone || state == aMember.state) {
    return ReportOutcome::Known;
  }
  if (aMember.beat < aEntry.member.beat || WasHeardLately(aEntry)) {
    return ReportOutcome::Outdated;
  }
  if (aMember.state == MemberState::Suspect && state == MemberState::Leaving) {
    return ReportOutcome::Known;
  }
  aEntry.member.beat = aMember.beat;
  SetState(aEntry, aMember.state);
  return ReportOutcome::Changed;
}

ReportOutcome
MemberTable::TakeLife(MemberEntry& aEntry, const Member& aMember)
{
  TakeVitals(aEntry, aMember);
  if (aEntry.member.state == MemberState::Leaving) {
    return ReportOutcome::Known;
  }
  // What left stays away: its last heartbeats may arrive after the news that it is gone.
  if (aEntry.member.state == MemberState::Gone && aEntry.isDeparted) {
    return ReportOutcome::Outdated;
  }
  const bool isNew = aEntry.member.state != MemberState::Alive;
  SetState(aEntry, MemberState::Alive);
  return isNew ? ReportOutcome::Changed : ReportOutcome::Known;
}

bool
MemberTable::WasHeardLately(const MemberEntry& aEntry) const
{
  return aEntry.heardDirectly && mTimers.Now() - *aEntry.heardDirectly < mLimits.suspectAfter;
}

void
MemberTable::NoteHeartbeat(MemberEntry& aEntry, std::optional<bool> aWatched, core::Duration aAge)
{
  const core::TimePoint sent = mTimers.Now() - aAge;
  aEntry.heardDirectly = std::max(aEntry.heardDirectly.value_or(sent), sent);
  aEntry.isWatched = aWatched.value_or(aEntry.isWatched);
  if (aAge < mLimits.suspectAfter) {
    aEntry.seenToRun = mTimers.Now();
    aEntry.toleratedSilence = mLimits.suspectAfter;
  }
}

void
MemberTable::JudgeSilence(MemberEntry& aEntry)
{
  const core::TimePoint now = mTimers.Now();
  const MemberState state = aEntry.member.state;
  if (state == MemberState::Suspect && now - aEntry.suspectSince >= mLimits.goneAfter) {
    SetState(aEntry, MemberState::Gone);
    return;
  }
  const core::Duration silence = now - aEntry.seenToRun;
  const core::Duration tolerance = ToleranceFor(aEntry);
  if (state == MemberState::Alive && silence >= tolerance) {
    SetState(aEntry, MemberState::Suspect);
    return;
  }
  if (state == MemberState::Leaving && silence >= tolerance + mLimits.goneAfter) {
    SetState(aEntry, MemberState::Gone);
  }
}

core::Duration
MemberTable::ToleranceFor(const MemberEntry& aEntry) const
{
  if (aEntry.isWatched) {
    return aEntry.toleratedSilence;
  }
  return mLimits.unwatchedSilence + mLimits.unwatchedSilencePerMember * mEntries.size();
}

void
MemberTable::EndOthersAt(const Member& aMember)
{
  for (auto& [vm, entry] : mEntries) {
    const bool isSameAddress = entry.member.peerAddress == aMember.peerAddress;
    if (vm == aMember.vm || !isSameAddress || aMember.peerAddress.empty()) {
      continue;
    }
    const bool isThere = entry.member.state != MemberState::Gone;
    if (isThere && entry.member.startOrder < aMember.startOrder) {
      SetState(entry, MemberState::Gone);
    }
  }
}

} // namespace skylarkwing::membership
