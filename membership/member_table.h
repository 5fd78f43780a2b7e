#pragma once

#include "core/timer_service.h"
#include "membership/member.h"
#include "membership/vm_list.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::membership {

/** Timings of failure detection and of the return of members. */
struct MemberTableTimings
{
  /** Silence after which a member that sends its heartbeats to this daemon is suspect. */
  core::Duration suspectAfter = std::chrono::milliseconds{ 1000 };
  /** Time from suspect to gone, in which the member or a peer can refute the suspicion. */
  core::Duration goneAfter = std::chrono::milliseconds{ 500 };
  /** How long a new process runs before it may own replicas. */
  core::Duration newSettling = std::chrono::milliseconds{ 1000 };
  /** Interval of a process's heartbeats; their count times this is how long it has run. */
  core::Duration heartbeatPeriod = std::chrono::milliseconds{ 250 };
  /** How long a member that was gone runs before it may own replicas; doubles with every return. */
  core::Duration returnSettling = std::chrono::milliseconds{ 2000 };
  core::Duration maxSettling = std::chrono::minutes{ 2 };
  /** A member that stayed for this long starts again with returnSettling. */
  core::Duration flapWindow = std::chrono::minutes{ 10 };
  /** How long a gone member is kept, so that an older incarnation is not taken for a new member. */
  core::Duration goneRetention = std::chrono::hours{ 2 };
  /**
   * Silence after which a member that sends its heartbeats only to others is suspect: a base value,
   * and an increment for each member, because reports about each one become less frequent.
   */
  core::Duration unmonitoredSilence = std::chrono::milliseconds{ 3000 };
  core::Duration unmonitoredSilencePerMember = std::chrono::milliseconds{ 250 };
  /** Maximum silence timeout of a member whose suspicions were refuted repeatedly. */
  core::Duration maxSilence = std::chrono::seconds{ 8 };
};

/** The result of handling a report about a member. */
enum class ReportOutcome
{
  /** The report had nothing new. */
  Known,
  /** The report changed the entry. */
  Changed,
  /** The entry here is newer and should be sent to the reporter. */
  Outdated,
};

/** @return the name of an outcome, for metric labels. */
std::string_view
NameOf(ReportOutcome aOutcome);

/** Everything known about one member. */
struct MemberEntry
{
  Member member;
  /** When its last heartbeat arrived here, or nothing when none did. */
  std::optional<core::TimePoint> lastHeartbeatAt;
  /** When a heartbeat or a report last showed that it runs, by a higher heartbeat count. */
  core::TimePoint lastProgressAt;
  /** Whether this daemon is one of its monitors, so that it should receive its heartbeats. */
  bool isMonitored = false;
  /** Silence after which it is suspect while it is monitored. */
  core::Duration silenceTimeout{};
  core::TimePoint suspectSince;
  core::TimePoint goneSince;
  /** When it last became alive. */
  core::TimePoint aliveSince;
  /** When it may own replicas. */
  core::TimePoint settledAt;
  /** How often it came back after it was gone. */
  std::uint32_t returns = 0;
  /** Hash of the VM and incarnation. */
  std::uint64_t identityHash = 0;
  /** It announced that it was leaving before it was gone. */
  bool hasLeft = false;
  bool isInVmList = false;
  /** The platform is about to stop the VM. */
  bool isLeavingInVmList = false;
  /** It was gone, and a VM list fetched since then does not contain it. */
  bool isRemoved = false;
};

/** Counts of one pass over all members, kept because a pass over thousands is expensive. */
struct MemberCounts
{
  /** Members by state, including self but not removed ones; the index is the state. */
  std::array<std::size_t, 5> byState{};
  /** Members including self, except those that left or were removed. */
  std::size_t expected = 1;
  /** Members alive or leaving, including self, whose configuration is not newer than self's. */
  std::size_t agreeing = 1;
  /** Members whose heartbeats arrived here recently, including self. */
  std::size_t heardDirectly = 1;
  /** Changes whenever EligibleOwners() does. */
  std::uint64_t eligibleOwnersHash = 0;
};

/**
 * All known members, with the failure detection for them.
 *
 * - The VM list lags behind, and proves only that a VM exists. It never changes whether a member is
 *   alive; a member that is gone and missing in the list is removed.
 * - A heartbeat proves that its sender is alive, and ends any suspicion.
 * - A report from another daemon counts when it is newer, by incarnation and heartbeat count; a
 *   suspicion counts only when no heartbeat arrived here recently.
 * - A leaving announcement holds for the rest of that incarnation.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class MemberTable
{
public:
  /** Called after a member's state or incarnation changed. */
  using ChangeListener = std::function<void(const Member&)>;

  MemberTable(core::TimerService& aTimers, Member aSelf, MemberTableTimings aTimings = {});

  /** Sets the listener for changes; there is only one. */
  void OnChange(ChangeListener aListener) { mListener = std::move(aListener); }

  /** @return this daemon's own member, which only this daemon may change. */
  Member& Self() { return mSelf.member; }
  const Member& Self() const { return mSelf.member; }

  /** Merges a newly fetched VM list. */
  void MergeVmList(const std::vector<VmRecord>& aVms);

  /**
   * Handles a heartbeat that arrived from the member itself.
   *
   * @param aMember the sender's own description.
   * @param aIsMonitored whether this daemon monitors the sender from now on, nothing for no change.
   * @param aAge how long the heartbeat was delayed; it proves nothing about the time since.
   */
  ReportOutcome HandleHeartbeat(const Member& aMember,
                                std::optional<bool> aIsMonitored,
                                core::Duration aAge = {});

  /** Handles another daemon's report about a member other than self. */
  ReportOutcome HandleReport(const Member& aMember);

  /** Updates states by silence, and the counts; must be called several times per suspectAfter. */
  void Evaluate();

  /** @return the counts of the latest Evaluate(). */
  const MemberCounts& Counts() const { return mCounts; }

  /** Restarts the silence of all members, after a pause in which this daemon received nothing. */
  void RestartSilences();

  /** Makes self settle before it may own replicas again, after peers considered it gone. */
  void RestartSelfSettling();

  /** @return the entry of a VM other than self, or null. */
  const MemberEntry* Find(const std::string& aVm) const;

  /** @return all entries except self, by VM. */
  const std::map<std::string, MemberEntry>& Entries() const { return mEntries; }

  /** @return all members including self, except removed ones. */
  std::vector<Member> Members() const;

  /**
   * @return the members that may own replicas: alive or suspect, and settled. A suspect member
   *         keeps its replicas until it is gone.
   */
  std::vector<Member> EligibleOwners() const;

  /** @return the number of members including self, except those that left or were removed. */
  std::size_t ExpectedCount() const;

private:
  enum class Order
  {
    Older,
    Same,
    Newer,
  };

  Order CompareIncarnations(const Member& aReported, const Member& aKnown) const;
  void MergeListed(const VmRecord& aRecord);
  void MergeUnlisted(MemberEntry& aEntry);
  MemberEntry& Insert(const Member& aMember);
  void Replace(MemberEntry& aEntry, const Member& aMember);
  void Rejoin(MemberEntry& aEntry);
  void SetState(MemberEntry& aEntry, MemberState aState);
  void UpdateStatus(MemberEntry& aEntry, const Member& aMember);
  ReportOutcome ApplySuspicion(MemberEntry& aEntry, const Member& aMember);
  ReportOutcome ApplyAlive(MemberEntry& aEntry, const Member& aMember);
  core::Duration SilenceTimeoutOf(const MemberEntry& aEntry) const;
  bool WasHeardRecently(const MemberEntry& aEntry) const;
  void RecordHeartbeat(MemberEntry& aEntry, std::optional<bool> aIsMonitored, core::Duration aAge);
  void Count(const MemberEntry& aEntry);
  void CheckSilence(MemberEntry& aEntry);
  void MarkOthersGoneAt(const Member& aMember);

  core::TimerService& mTimers;
  MemberTableTimings mTimings;
  ChangeListener mListener;
  MemberEntry mSelf;
  MemberCounts mCounts;
  std::map<std::string, MemberEntry> mEntries;
};

} // namespace skylarkwing::membership
