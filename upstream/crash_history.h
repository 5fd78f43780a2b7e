#pragma once

#include "core/timer_service.h"

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
  /** The same shard answered the fingerprint since, so it is harmless there. */
  Harmless,
  /** An operator lifted the quarantine. */
  Lifted,
};

/** @return the name of a kind, for messages and metric labels. */
std::string_view
NameOf(EvidenceKind aKind);

/** What one daemon saw of one fingerprint; it is broadcast to all others. */
struct CrashEvidence
{
  std::uint64_t fingerprint = 0;
  EvidenceKind kind = EvidenceKind::Crash;
  /** The replica's name; empty for Harmless and Lifted. */
  std::string replica;
  /** The process that went away or was seen; empty when it never said. */
  std::string incarnation;
  /** The shard that was searched, of Crash and Harmless. */
  std::uint32_t shard = 0;
};

/** Whether a fingerprint may run. */
enum class FingerprintRisk
{
  /** It was answered lately. */
  Safe,
  /** Nothing is known of it. */
  Untried,
  /** One replica went away while running it. */
  Suspect,
  /** Two did; it runs no more. */
  Quarantined,
};

/** A fingerprint that runs no more, for operators. */
struct QuarantinedFingerprint
{
  std::uint64_t fingerprint = 0;
  /** The names of the replicas that fell. */
  std::vector<std::string> crashedReplicas;
  /** Time since the last crash or refusal. */
  core::Duration sinceLastSeen{};
};

/**
 * Remembers which replicas went away while they ran which fingerprint, so that one request cannot
 * take a third.
 *
 * A decision without tasks or sockets. Not thread-safe: one instance belongs to one event loop.
 */
class CrashHistory
{
public:
  /** How many replicas may fall to one fingerprint. */
  static constexpr std::size_t kCrashesUntilQuarantine = 2;

  /** @param aTimers tells the time; it must outlive the ledger. */
  explicit CrashHistory(const core::TimerService& aTimers);

  /**
   * Judges a fingerprint; evidence that came with the request counts and is kept.
   *
   * @param aFingerprint the request's fingerprint.
   * @param aCrashedReplicas names of replicas that the asker knows to have fallen.
   */
  FingerprintRisk Assess(std::uint64_t aFingerprint,
                         const std::vector<std::string>& aCrashedReplicas);

  /** @return whether a replica of that name fell to the fingerprint, whatever its process. */
  bool HasCrashed(std::uint64_t aFingerprint, const std::string& aReplica) const;

  /** @return the names of the replicas known to have fallen. */
  std::vector<std::string> CrashedReplicas(std::uint64_t aFingerprint) const;

  /** Takes in evidence, of this daemon or of another one; taking it in twice changes nothing. */
  void Merge(const CrashEvidence& aEvidence);

  /**
   * Records that a fingerprint was answered for a shard. It clears crashes on that shard only,
   * because what crashes a replica may lie in one shard's data.
   *
   * @return whether that cleared a suspicion, which the others should then hear.
   */
  bool RecordAnswer(std::uint64_t aFingerprint, std::uint32_t aShard);

  /** @return the fingerprints suspected because of that process, which was seen alive. */
  std::vector<std::uint64_t> SuspectedOf(const std::string& aReplica,
                                         const std::string& aIncarnation) const;

  /** @return every crash that counts, for a daemon that has just joined. */
  std::vector<CrashEvidence> Evidence() const;

  /** @return the fingerprints that run no more. */
  std::vector<QuarantinedFingerprint> Quarantined() const;

private:
  struct Crash
  {
    std::string replica;
    /** The process that went away; empty when the evidence does not say. */
    std::string incarnation;
    /** Nothing when the evidence does not say. */
    std::optional<std::uint32_t> shard;
  };

  struct Record
  {
    std::vector<Crash> crashes;
    /** Crashes that count no more; a late repeat of them must not bring the suspicion back. */
    std::vector<Crash> cleared;
    core::TimePoint lastSeen;
  };

  const core::TimerService& mTimers;
  std::unordered_map<std::uint64_t, Record> mRecords;
  std::list<std::uint64_t> mSafeOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mSafe;

  static bool MayBeSame(const Crash& aLeft, const Crash& aRight);
  static bool HasCrash(const std::vector<Crash>& aList, const Crash& aCrash);
  void AddCrash(std::uint64_t aFingerprint, const Crash& aCrash);
  void ClearCrash(std::uint64_t aFingerprint, const Crash& aCrash);
  void ClearAll(std::uint64_t aFingerprint);
  bool IsSafe(std::uint64_t aFingerprint);
  void MarkSafe(std::uint64_t aFingerprint);
  void ForgetSafe(std::uint64_t aFingerprint);
  void DropExpired();
  void DropOldestWhenFull();
};

} // namespace skylarkwing::upstream
