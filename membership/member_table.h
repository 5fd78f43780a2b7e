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

/** Times by which a member table judges. */
struct MemberTableTimings
{
  /** Silence of a member whose heartbeats come here, until it is suspect. */
  core::Duration suspectAfter = std::chrono::milliseconds{ 1000 };
  /** Time from suspect to gone, in which it or whoever hears it can object. */
  core::Duration goneAfter = std::chrono::milliseconds{ 500 };
  /** How long a new process runs before it may own replicas. */
  core::Duration newSettling = std::chrono::milliseconds{ 1000 };
  /** Time between a process's heartbeats, by which their count tells how long it has run. */
  core::Duration heartbeatPeriod = std::chrono::milliseconds{ 250 };
  /** The same for one that was gone and came back; doubles with every return. */
  core::Duration returnSettling = std::chrono::milliseconds{ 2000 };
  core::Duration longestSettling = std::chrono::minutes{ 2 };
  /** After this long without going, a member's returns are forgotten. */
  core::Duration flapMemory = std::chrono::minutes{ 10 };
  /** How long a gone member is remembered, so that an older incarnation cannot come back. */
  core::Duration goneMemory = std::chrono::hours{ 2 };
  /**
   * Time without any sign of life after which a member is suspect although its heartbeats go to
   * others: so much, and so much more for each member, because signs of each come more seldom.
   */
  core::Duration unwatchedSilence = std::chrono::milliseconds{ 3000 };
  core::Duration unwatchedSilencePerMember = std::chrono::milliseconds{ 250 };
  /** Longest silence that a member may have after its suspicion was refuted again and again. */
  core::Duration longestSilence = std::chrono::seconds{ 8 };
};

/** What a report about a member came to. */
enum class ReportOutcome
{
  /** It told nothing new. */
  Known,
  /** It changed what is known. */
  Changed,
  /** What is known here is newer: whoever reported should hear it. */
  Outdated,
};

/** @return the name of an outcome, for metric labels. */
std::string_view
NameOf(ReportOutcome aOutcome);

/** Everything known about one member. */
struct MemberEntry
{
  Member member;
  /** When a heartbeat of it arrived here, or nothing when none did. */
  std::optional<core::TimePoint> lastHeartbeatAt;
  /** When anything showed that it still ran, by a higher heartbeat count. */
  core::TimePoint lastProgressAt;
  /** Whether its heartbeats are meant to come here, so that their absence tells something. */
  bool isMonitored = false;
  /** Silence that is taken for now before it is suspect. */
  core::Duration silenceTimeout{};
  core::TimePoint suspectSince;
  core::TimePoint goneSince;
  /** When it came to be alive the last time. */
  core::TimePoint aliveSince;
  /** From then on it may own replicas. */
  core::TimePoint settledAt;
  std::uint32_t returns = 0;
  /** Hash of the VM and incarnation. */
  std::uint64_t identityHash = 0;
  /** It announced that it leaves, and then went. */
  bool hasLeft = false;
  bool isInVmList = false;
  /** The platform says that it is about to stop the VM. */
  bool isLeavingInVmList = false;
  /** A VM list fetched after it went does not show it any more. */
  bool isForgotten = false;
};

/** What one look at all members counts, because looks at thousands of them are dear. */
struct MemberCounts
{
  /** Members by state with self and without forgotten ones; the index is the state. */
  std::array<std::size_t, 5> byState{};
  /** Members that should be there: with self, without departed and forgotten ones. */
  std::size_t known = 1;
  /** Members alive or leaving, with self, that have no newer configuration than self. */
  std::size_t agreeing = 1;
  /** Members whose heartbeats arrived here lately, with self. */
  std::size_t heard = 1;
  /** Changes when EligibleOwners() does. */
  std::uint64_t eligibleOwnersHash = 0;
};

/**
 * All known members, and the judgement of evidence about them.
 *
 * - The VM list lags: it proves that a VM exists. Neither its presence nor its absence changes
 *   whether a member is alive; absence only confirms that a member that is silent is gone for good.
 * - A heartbeat proves that its sender is alive, and ends any doubt.
 * - A report from another daemon counts when it is newer, by incarnation and heartbeat count; a
 *   suspicion counts only when no heartbeat arrived here lately.
 * - A leaving notice holds for the rest of that incarnation.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class MemberTable
{
public:
  /** Called when a member's state or incarnation changed. */
  using ChangeListener = std::function<void(const Member&)>;

  MemberTable(core::TimerService& aTimers, Member aSelf, MemberTableTimings aTimings = {});

  /** Sets who hears of changes; there is one listener. */
  void OnChange(ChangeListener aListener) { mListener = std::move(aListener); }

  /** @return this daemon's own member; to be changed only by its own daemon. */
  Member& Self() { return mSelf.member; }
  const Member& Self() const { return mSelf.member; }

  /** Merges a freshly fetched VM list. */
  void MergeVmList(const std::vector<VmRecord>& aVms);

  /**
   * Takes a heartbeat that arrived from the member itself.
   *
   * @param aMember what it says of itself.
   * @param aIsMonitored whether this daemon is to watch it from now on, nothing for no change.
   * @param aAge how long it waited on its way: it proves nothing of the time since.
   */
  ReportOutcome HandleHeartbeat(const Member& aMember,
                                std::optional<bool> aIsMonitored,
                                core::Duration aAge = {});

  /** Takes another daemon's report about a member other than self. */
  ReportOutcome HandleReport(const Member& aMember);

  /** Judges silences and counts; to be called several times in each suspectAfter. */
  void Evaluate();

  /** @return what the latest Evaluate() counted. */
  const MemberCounts& Counts() const { return mCounts; }

  /** Restarts all silences, for when this daemon itself was paused and so heard nobody. */
  void RestartSilenceTimers();

  /** Makes self wait before it owns replicas again, after others held it for gone. */
  void RestartSelfSettling();

  /** @return what is known about a VM other than self, or null. */
  const MemberEntry* Find(const std::string& aVm) const;

  /** @return all entries but self, by VM. */
  const std::map<std::string, MemberEntry>& Entries() const { return mEntries; }

  /** @return all members with self, without those that are forgotten. */
  std::vector<Member> Members() const;

  /**
   * @return the members that may own replicas: alive or suspect, and settled. A suspect member
   *         keeps its replicas until it is gone.
   */
  std::vector<Member> EligibleOwners() const;

  /** @return how many members should be there: with self, without departed and forgotten ones. */
  std::size_t KnownCount() const;

private:
  enum class Order
  {
    Older,
    Same,
    Newer,
  };

  Order OrderOf(const Member& aReported, const Member& aKnown) const;
  void MergeListed(const VmRecord& aRecord);
  void MergeUnlisted(MemberEntry& aEntry);
  MemberEntry& Insert(const Member& aMember);
  void Replace(MemberEntry& aEntry, const Member& aMember);
  void Rejoin(MemberEntry& aEntry);
  void SetState(MemberEntry& aEntry, MemberState aState);
  void UpdateStatus(MemberEntry& aEntry, const Member& aMember);
  ReportOutcome ApplySuspicion(MemberEntry& aEntry, const Member& aMember);
  ReportOutcome ApplyAlive(MemberEntry& aEntry, const Member& aMember);
  core::Duration ToleranceFor(const MemberEntry& aEntry) const;
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
