#pragma once

#include "core/timer_service.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwing::upstream {

/** What a piece of evidence says. */
enum class EvidenceKind
{
  /** The replica's process went away while it ran the fingerprint. */
  Crash,
  /** The process was seen alive afterwards, so only its connection was lost. */
  Alive,
  /** The same shard has answered the fingerprint since, so it is harmless there. */
  Harmless,
  /** An operator lifted the quarantine. */
  Lifted,
  /** All crashes of an episode had another cause, by later answers of their shards. */
  Disproved,
};

/** @return the name of a kind, for messages and metric labels. */
std::string_view
NameOf(EvidenceKind aKind);

/** What one daemon observed of one fingerprint; it is broadcast to all other daemons. */
struct CrashEvidence
{
  std::uint64_t fingerprint = 0;
  EvidenceKind kind = EvidenceKind::Crash;
  /** The replica's name; empty for Harmless and Lifted. */
  std::string replica;
  /** The process that went away or was seen alive; empty when it never said. */
  std::string incarnation;
  /** The shard that was searched, for Crash and Harmless. */
  std::uint32_t shard = 0;
  /**
   * Attempts that were under way together have the same episode, and their crashes count once: one
   * failure may take many replicas. 0 means that the crash counts by itself.
   */
  std::uint64_t episode = 0;

  bool operator==(const CrashEvidence&) const = default;
};

/** The risk that a fingerprint crashes its replica. */
enum class FingerprintRisk
{
  /** It was answered recently. */
  Safe,
  /** Nothing is known of it. */
  Untried,
  /** One replica went away while it ran the fingerprint. */
  Suspect,
  /** As many did as settings allow; it may not run for now. */
  Quarantined,
};

/** When a fingerprint is quarantined, for how long, and how much is recorded. */
struct CrashHistorySettings
{
  /** Independent crashes after which a fingerprint is quarantined. */
  std::size_t crashesUntilQuarantine = 2;
  /** How long crashes count when no other one follows. */
  core::Duration suspicionLifetime = std::chrono::minutes{ 30 };
  /** Duration of a quarantine; doubles with each further crash, up to the maximum. */
  core::Duration quarantineTime = std::chrono::hours{ 24 };
  core::Duration maxQuarantineTime = std::chrono::hours{ 24 };
  /** How long one more crash renews a quarantine that is over. */
  core::Duration probationTime{};
  /** Whether refused attempts extend a quarantine. */
  bool isExtendedByAttempts = true;
  std::size_t maxFingerprints = 4'096;
};

/** A quarantined fingerprint, for operators. */
struct QuarantinedFingerprint
{
  std::uint64_t fingerprint = 0;
  /** The names of the replicas that crashed. */
  std::vector<std::string> crashedReplicas;
  /** Time since the last crash or refusal. */
  core::Duration sinceLastSeen{};
};

/**
 * Records which replicas went away while they ran which fingerprint, so that one request cannot
 * crash one after the other.
 *
 * Does no I/O. Not thread-safe: one instance belongs to one event loop.
 */
class CrashHistory
{
public:
  /** @param aTimers the clock; it must outlive this object. */
  explicit CrashHistory(const core::TimerService& aTimers, CrashHistorySettings aSettings = {});

  /** @return whether nothing is recorded, so that every fingerprint is Safe or Untried. */
  bool IsEmpty() const { return mRecords.empty(); }

  /**
   * Assesses a fingerprint. Crashes that came with the request count and are recorded.
   *
   * @param aFingerprint the request's fingerprint.
   * @param aCrashedReplicas names of replicas that the sender knows to have crashed.
   */
  FingerprintRisk Assess(std::uint64_t aFingerprint,
                         const std::vector<std::string>& aCrashedReplicas);

  /** @return whether a replica of that name crashed on the fingerprint, in whichever process. */
  bool HasCrashed(std::uint64_t aFingerprint, const std::string& aReplica) const;

  /** @return the names of the replicas known to have crashed. */
  std::vector<std::string> CrashedReplicas(std::uint64_t aFingerprint) const;

  /** Applies evidence of this daemon or another one; applying it twice changes nothing. */
  void Merge(const CrashEvidence& aEvidence);

  /**
   * Records that a fingerprint was answered for a shard. It clears crashes on that shard only,
   * because the cause of a crash may lie in one shard's data.
   *
   * @return whether that cleared a suspicion, which the other daemons should then be told.
   */
  bool RecordAnswer(std::uint64_t aFingerprint, std::uint32_t aShard);

  /**
   * Clears the crashes on a shard that were known before an attempt was sent which the shard has
   * answered, also those of a quarantined fingerprint.
   *
   * @return the episodes of which no crash is left.
   */
  std::vector<std::uint64_t> Disprove(std::uint64_t aFingerprint,
                                      std::uint32_t aShard,
                                      core::TimePoint aSentAt);

  /** @return the number of independent crashes that count against a fingerprint. */
  std::size_t CrashCount(std::uint64_t aFingerprint) const;

  /** @return the time until a fingerprint may run again, zero when it may run now. */
  core::Duration QuarantineLeft(std::uint64_t aFingerprint) const;

  /** @return the crashes that count against a fingerprint. */
  std::vector<CrashEvidence> EvidenceOf(std::uint64_t aFingerprint) const;

  /** @return the fingerprints suspected because of that process, which was seen alive. */
  std::vector<std::uint64_t> SuspectedOf(const std::string& aReplica,
                                         const std::string& aIncarnation) const;

  /** @return every crash that counts, for a daemon that has just joined. */
  std::vector<CrashEvidence> Evidence() const;

  /** @return the quarantined fingerprints. */
  std::vector<QuarantinedFingerprint> Quarantined() const;

private:
  struct Crash
  {
    std::string replica;
    /** The process that went away; empty when the evidence does not say. */
    std::string incarnation;
    /** Nothing when the evidence does not say. */
    std::optional<std::uint32_t> shard;
    std::uint64_t episode = 0;
    core::TimePoint learnedAt{};
  };

  struct Record
  {
    std::vector<Crash> crashes;
    /**
     * Crashes that were disproved; a late repeat of one must not bring the suspicion back. One
     * without a replica stands for all crashes of its episode.
     */
    std::vector<Crash> cleared;
    core::TimePoint lastSeen;
    core::TimePoint quarantinedUntil{};
  };

  const core::TimerService& mTimers;
  CrashHistorySettings mSettings;
  std::unordered_map<std::uint64_t, Record> mRecords;
  std::list<std::uint64_t> mSafeOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mSafe;

  static bool MayBeSame(const Crash& aLeft, const Crash& aRight);
  static bool HasCrash(const std::vector<Crash>& aList, const Crash& aCrash);
  static std::size_t CountOf(const Record& aRecord);
  static CrashEvidence ToEvidence(std::uint64_t aFingerprint, const Crash& aCrash);
  bool IsOverThreshold(const Record& aRecord) const;
  bool IsExpired(const Record& aRecord) const;
  core::Duration QuarantineTimeOf(const Record& aRecord) const;
  void AddCrash(std::uint64_t aFingerprint, Crash aCrash);
  void ClearCrash(std::uint64_t aFingerprint, const Crash& aCrash);
  void ClearEpisode(std::uint64_t aFingerprint, std::uint64_t aEpisode);
  void ClearAll(std::uint64_t aFingerprint);
  bool IsSafe(std::uint64_t aFingerprint);
  void MarkSafe(std::uint64_t aFingerprint);
  void ForgetSafe(std::uint64_t aFingerprint);
  void DropExpired();
  void DropOldestWhenFull();
};

} // namespace skylarkwing::upstream
