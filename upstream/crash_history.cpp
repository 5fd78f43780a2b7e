#include "upstream/crash_history.h"

#include "core/name_table.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<EvidenceKind, 4> kKindNames{ { "crash", "alive", "harmless", "lifted" } };

constexpr std::size_t kMaxSafeFingerprints = 16'384;
constexpr std::size_t kMaxRecords = 4'096;
constexpr std::chrono::minutes kSuspicionLifetime{ 30 };
constexpr std::chrono::hours kQuarantineLifetime{ 24 };

} // namespace

std::string_view
NameOf(EvidenceKind aKind)
{
  return kKindNames.NameOf(aKind);
}

CrashHistory::CrashHistory(const core::TimerService& aTimers)
  : mTimers(aTimers)
{
}

FingerprintRisk
CrashHistory::Assess(std::uint64_t aFingerprint, const std::vector<std::string>& aCrashedReplicas)
{
  for (const std::string& replica : aCrashedReplicas) {
    AddCrash(aFingerprint, { replica, {}, std::nullopt });
  }
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end() || it->second.crashes.empty()) {
    return IsSafe(aFingerprint) ? FingerprintRisk::Safe : FingerprintRisk::Untried;
  }
  if (it->second.crashes.size() < kCrashesUntilQuarantine) {
    return FingerprintRisk::Suspect;
  }
  // Each further attempt renews the quarantine, so that it outlasts a caller that keeps retrying.
  it->second.lastSeen = mTimers.Now();
  return FingerprintRisk::Quarantined;
}

bool
CrashHistory::HasCrashed(std::uint64_t aFingerprint, const std::string& aReplica) const
{
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end()) {
    return false;
  }
  const std::vector<Crash>& crashes = it->second.crashes;
  return std::any_of(crashes.begin(), crashes.end(), [&aReplica](const Crash& aCrash) {
    return aCrash.replica == aReplica;
  });
}

std::vector<std::string>
CrashHistory::CrashedReplicas(std::uint64_t aFingerprint) const
{
  std::vector<std::string> names;
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end()) {
    return names;
  }
  for (const Crash& crash : it->second.crashes) {
    if (std::find(names.begin(), names.end(), crash.replica) == names.end()) {
      names.push_back(crash.replica);
    }
  }
  return names;
}

void
CrashHistory::Merge(const CrashEvidence& aEvidence)
{
  switch (aEvidence.kind) {
    case EvidenceKind::Crash:
      AddCrash(aEvidence.fingerprint,
               { aEvidence.replica, aEvidence.incarnation, aEvidence.shard });
      return;
    case EvidenceKind::Alive:
      ClearCrash(aEvidence.fingerprint, { aEvidence.replica, aEvidence.incarnation, std::nullopt });
      return;
    case EvidenceKind::Harmless:
      RecordAnswer(aEvidence.fingerprint, aEvidence.shard);
      return;
    case EvidenceKind::Lifted:
      ClearAll(aEvidence.fingerprint);
      return;
  }
}

bool
CrashHistory::RecordAnswer(std::uint64_t aFingerprint, std::uint32_t aShard)
{
  MarkSafe(aFingerprint);
  const auto it = mRecords.find(aFingerprint);
  // An answer older than the second crash must not end a quarantine.
  if (it == mRecords.end() || it->second.crashes.size() >= kCrashesUntilQuarantine) {
    return false;
  }
  std::vector<Crash> disproved = it->second.crashes;
  std::erase_if(disproved, [aShard](const Crash& aCrash) { return aCrash.shard != aShard; });
  for (const Crash& crash : disproved) {
    ClearCrash(aFingerprint, crash);
  }
  return !disproved.empty();
}

std::vector<std::uint64_t>
CrashHistory::SuspectedOf(const std::string& aReplica, const std::string& aIncarnation) const
{
  const auto isOfProcess = [&aReplica, &aIncarnation](const Crash& aCrash) {
    return aCrash.replica == aReplica && aCrash.incarnation == aIncarnation;
  };
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, record] : mRecords) {
    if (std::any_of(record.crashes.begin(), record.crashes.end(), isOfProcess)) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

std::vector<CrashEvidence>
CrashHistory::Evidence() const
{
  std::vector<CrashEvidence> evidence;
  for (const auto& [fingerprint, record] : mRecords) {
    for (const Crash& crash : record.crashes) {
      evidence.push_back({ fingerprint,
                           EvidenceKind::Crash,
                           crash.replica,
                           crash.incarnation,
                           crash.shard.value_or(0) });
    }
  }
  return evidence;
}

std::vector<QuarantinedFingerprint>
CrashHistory::Quarantined() const
{
  std::vector<QuarantinedFingerprint> list;
  for (const auto& [fingerprint, record] : mRecords) {
    if (record.crashes.size() >= kCrashesUntilQuarantine) {
      list.push_back(
        { fingerprint, CrashedReplicas(fingerprint), mTimers.Now() - record.lastSeen });
    }
  }
  return list;
}

bool
CrashHistory::MayBeSame(const Crash& aLeft, const Crash& aRight)
{
  const bool isProcessKnown = !aLeft.incarnation.empty() && !aRight.incarnation.empty();
  return aLeft.replica == aRight.replica &&
         (!isProcessKnown || aLeft.incarnation == aRight.incarnation);
}

bool
CrashHistory::HasCrash(const std::vector<Crash>& aList, const Crash& aCrash)
{
  return std::any_of(aList.begin(), aList.end(), [&aCrash](const Crash& aKnown) {
    return MayBeSame(aKnown, aCrash);
  });
}

void
CrashHistory::AddCrash(std::uint64_t aFingerprint, const Crash& aCrash)
{
  DropExpired();
  Record& record = mRecords[aFingerprint];
  if (HasCrash(record.cleared, aCrash)) {
    return;
  }
  const auto known =
    std::find_if(record.crashes.begin(), record.crashes.end(), [&aCrash](const Crash& aKnown) {
      return MayBeSame(aKnown, aCrash);
    });
  if (known != record.crashes.end()) {
    // The owner's evidence is more precise than a name that came with a request.
    *known = aCrash.shard ? aCrash : *known;
    return;
  }
  record.crashes.push_back(aCrash);
  record.lastSeen = mTimers.Now();
  ForgetSafe(aFingerprint);
  DropOldestWhenFull();
}

void
CrashHistory::ClearCrash(std::uint64_t aFingerprint, const Crash& aCrash)
{
  Record& record = mRecords[aFingerprint];
  std::erase_if(record.crashes,
                [&aCrash](const Crash& aKnown) { return MayBeSame(aKnown, aCrash); });
  record.lastSeen = mTimers.Now();
  if (!HasCrash(record.cleared, aCrash)) {
    record.cleared.push_back(aCrash);
  }
}

void
CrashHistory::ClearAll(std::uint64_t aFingerprint)
{
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end()) {
    return;
  }
  const std::vector<Crash> crashes = it->second.crashes;
  for (const Crash& crash : crashes) {
    ClearCrash(aFingerprint, crash);
  }
}

bool
CrashHistory::IsSafe(std::uint64_t aFingerprint)
{
  const auto it = mSafe.find(aFingerprint);
  if (it == mSafe.end()) {
    return false;
  }
  mSafeOrder.splice(mSafeOrder.begin(), mSafeOrder, it->second);
  return true;
}

void
CrashHistory::MarkSafe(std::uint64_t aFingerprint)
{
  if (IsSafe(aFingerprint)) {
    return;
  }
  mSafeOrder.push_front(aFingerprint);
  mSafe.emplace(aFingerprint, mSafeOrder.begin());
  if (mSafe.size() > kMaxSafeFingerprints) {
    mSafe.erase(mSafeOrder.back());
    mSafeOrder.pop_back();
  }
}

void
CrashHistory::ForgetSafe(std::uint64_t aFingerprint)
{
  const auto it = mSafe.find(aFingerprint);
  if (it == mSafe.end()) {
    return;
  }
  mSafeOrder.erase(it->second);
  mSafe.erase(it);
}

void
CrashHistory::DropExpired()
{
  const core::TimePoint now = mTimers.Now();
  std::erase_if(mRecords, [now](const auto& aItem) {
    const Record& record = aItem.second;
    const bool isQuarantined = record.crashes.size() >= kCrashesUntilQuarantine;
    const core::Duration age = now - record.lastSeen;
    return isQuarantined ? age > kQuarantineLifetime : age > kSuspicionLifetime;
  });
}

void
CrashHistory::DropOldestWhenFull()
{
  if (mRecords.size() <= kMaxRecords) {
    return;
  }
  const auto isOlder = [](const auto& aLeft, const auto& aRight) {
    // Quarantines are dropped last, because nothing else protects the replicas from their requests.
    const bool isLeftQuarantined = aLeft.second.crashes.size() >= kCrashesUntilQuarantine;
    const bool isRightQuarantined = aRight.second.crashes.size() >= kCrashesUntilQuarantine;
    if (isLeftQuarantined != isRightQuarantined) {
      return isRightQuarantined;
    }
    return aLeft.second.lastSeen < aRight.second.lastSeen;
  };
  mRecords.erase(std::min_element(mRecords.begin(), mRecords.end(), isOlder));
}

} // namespace skylarkwing::upstream
