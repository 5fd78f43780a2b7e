#include "upstream/crash_history.h"

#include "core/name_table.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<EvidenceKind, 5> kKindNames{
  { "crash", "alive", "harmless", "lifted", "disproved" }
};

constexpr std::size_t kMaxSafeFingerprints = 16'384;

/** A query over many shards may lose many replicas at once; further ones add nothing. */
constexpr std::size_t kMaxCrashesPerEpisode = 8;

/** Bounds on what is kept of one fingerprint, the oldest is dropped first. */
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxClearedCrashes = 64;

/** Doublings of a quarantine after which its maximum is reached in any case. */
constexpr std::size_t kMaxDoublings = 16;

} // namespace

std::string_view
NameOf(EvidenceKind aKind)
{
  return kKindNames.NameOf(aKind);
}

CrashHistory::CrashHistory(const core::TimerService& aTimers, CrashHistorySettings aSettings)
  : mTimers(aTimers)
  , mSettings(aSettings)
{
}

FingerprintRisk
CrashHistory::Assess(std::uint64_t aFingerprint, const std::vector<std::string>& aCrashedReplicas)
{
  for (const std::string& replica : aCrashedReplicas) {
    AddCrash(aFingerprint, { replica, {}, std::nullopt });
  }
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end() || it->second.crashes.empty() || IsExpired(it->second)) {
    return IsSafe(aFingerprint) ? FingerprintRisk::Safe : FingerprintRisk::Untried;
  }
  Record& record = it->second;
  if (!IsOverThreshold(record) || record.quarantinedUntil <= mTimers.Now()) {
    return FingerprintRisk::Suspect;
  }
  if (mSettings.isExtendedByAttempts) {
    // The quarantine outlasts a caller that keeps retrying.
    record.lastSeen = mTimers.Now();
    record.quarantinedUntil = record.lastSeen + QuarantineTimeOf(record);
  }
  return FingerprintRisk::Quarantined;
}

core::Duration
CrashHistory::QuarantineLeft(std::uint64_t aFingerprint) const
{
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end() || !IsOverThreshold(it->second)) {
    return core::Duration::zero();
  }
  return std::max<core::Duration>(it->second.quarantinedUntil - mTimers.Now(),
                                  core::Duration::zero());
}

std::size_t
CrashHistory::CrashCount(std::uint64_t aFingerprint) const
{
  const auto it = mRecords.find(aFingerprint);
  return it == mRecords.end() || IsExpired(it->second) ? 0 : CountOf(it->second);
}

std::vector<CrashEvidence>
CrashHistory::EvidenceOf(std::uint64_t aFingerprint) const
{
  std::vector<CrashEvidence> evidence;
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end() || IsExpired(it->second)) {
    return evidence;
  }
  for (const Crash& crash : it->second.crashes) {
    evidence.push_back(ToEvidence(aFingerprint, crash));
  }
  return evidence;
}

CrashEvidence
CrashHistory::ToEvidence(std::uint64_t aFingerprint, const Crash& aCrash)
{
  return { aFingerprint,       EvidenceKind::Crash,      aCrash.replica,
           aCrash.incarnation, aCrash.shard.value_or(0), aCrash.episode };
}

std::size_t
CrashHistory::CountOf(const Record& aRecord)
{
  std::vector<std::uint64_t> episodes;
  std::size_t n = 0;
  for (const Crash& crash : aRecord.crashes) {
    if (crash.episode == 0) {
      ++n;
    } else if (std::find(episodes.begin(), episodes.end(), crash.episode) == episodes.end()) {
      episodes.push_back(crash.episode);
    }
  }
  return n + episodes.size();
}

bool
CrashHistory::IsOverThreshold(const Record& aRecord) const
{
  return CountOf(aRecord) >= mSettings.crashesUntilQuarantine;
}

bool
CrashHistory::IsExpired(const Record& aRecord) const
{
  const core::TimePoint now = mTimers.Now();
  return IsOverThreshold(aRecord) ? now > aRecord.quarantinedUntil + mSettings.probationTime
                                  : now > aRecord.lastSeen + mSettings.suspicionLifetime;
}

core::Duration
CrashHistory::QuarantineTimeOf(const Record& aRecord) const
{
  const std::size_t further =
    std::min(CountOf(aRecord) - mSettings.crashesUntilQuarantine, kMaxDoublings);
  core::Duration time = mSettings.quarantineTime;
  for (std::size_t n = 0; n < further && time < mSettings.maxQuarantineTime; ++n) {
    time *= 2;
  }
  return std::min(time, mSettings.maxQuarantineTime);
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
               { aEvidence.replica, aEvidence.incarnation, aEvidence.shard, aEvidence.episode });
      return;
    case EvidenceKind::Disproved:
      ClearEpisode(aEvidence.fingerprint, aEvidence.episode);
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
  // An answer older than the last crash must not end a quarantine.
  if (it == mRecords.end() || IsOverThreshold(it->second)) {
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
CrashHistory::Disprove(std::uint64_t aFingerprint, std::uint32_t aShard, core::TimePoint aSentAt)
{
  std::vector<std::uint64_t> episodes;
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end()) {
    return episodes;
  }
  const std::vector<Crash> crashes = it->second.crashes;
  for (const Crash& crash : crashes) {
    if (crash.shard != aShard || crash.learnedAt > aSentAt) {
      continue;
    }
    ClearCrash(aFingerprint, crash);
    const std::vector<Crash>& left = it->second.crashes;
    const bool hasMore = std::any_of(left.begin(), left.end(), [&crash](const Crash& aLeft) {
      return aLeft.episode == crash.episode;
    });
    if (!hasMore) {
      episodes.push_back(crash.episode);
    }
  }
  return episodes;
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
      evidence.push_back(ToEvidence(fingerprint, crash));
    }
  }
  return evidence;
}

std::vector<QuarantinedFingerprint>
CrashHistory::Quarantined() const
{
  std::vector<QuarantinedFingerprint> list;
  for (const auto& [fingerprint, record] : mRecords) {
    if (IsOverThreshold(record)) {
      list.push_back(
        { fingerprint, CrashedReplicas(fingerprint), mTimers.Now() - record.lastSeen });
    }
  }
  return list;
}

bool
CrashHistory::MayBeSame(const Crash& aLeft, const Crash& aRight)
{
  if (aLeft.episode != 0 || aRight.episode != 0) {
    // A replica may end again before its new process is known.
    return aLeft.replica == aRight.replica && aLeft.episode == aRight.episode;
  }
  const bool isProcessKnown = !aLeft.incarnation.empty() && !aRight.incarnation.empty();
  return aLeft.replica == aRight.replica &&
         (!isProcessKnown || aLeft.incarnation == aRight.incarnation);
}

bool
CrashHistory::HasCrash(const std::vector<Crash>& aList, const Crash& aCrash)
{
  return std::any_of(aList.begin(), aList.end(), [&aCrash](const Crash& aKnown) {
    const bool isWholeEpisode = aKnown.replica.empty() && aKnown.episode != 0;
    return isWholeEpisode ? aKnown.episode == aCrash.episode : MayBeSame(aKnown, aCrash);
  });
}

void
CrashHistory::AddCrash(std::uint64_t aFingerprint, Crash aCrash)
{
  DropExpired();
  Record& record = mRecords[aFingerprint];
  if (HasCrash(record.cleared, aCrash)) {
    return;
  }
  aCrash.learnedAt = mTimers.Now();
  const auto known =
    std::find_if(record.crashes.begin(), record.crashes.end(), [&aCrash](const Crash& aKnown) {
      return MayBeSame(aKnown, aCrash);
    });
  if (known != record.crashes.end()) {
    // The owner's evidence is more precise than a name that came with a request.
    if (aCrash.shard) {
      aCrash.learnedAt = known->learnedAt;
      *known = std::move(aCrash);
    }
    return;
  }
  const auto ofEpisode =
    std::count_if(record.crashes.begin(), record.crashes.end(), [&aCrash](const Crash& aKnown) {
      return aCrash.episode != 0 && aKnown.episode == aCrash.episode;
    });
  if (static_cast<std::size_t>(ofEpisode) >= kMaxCrashesPerEpisode) {
    return;
  }
  if (record.crashes.size() >= kMaxCrashes) {
    record.crashes.erase(record.crashes.begin());
  }
  record.crashes.push_back(std::move(aCrash));
  record.lastSeen = mTimers.Now();
  if (IsOverThreshold(record)) {
    record.quarantinedUntil = record.lastSeen + QuarantineTimeOf(record);
  }
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
  if (HasCrash(record.cleared, aCrash)) {
    return;
  }
  if (record.cleared.size() >= kMaxClearedCrashes) {
    record.cleared.erase(record.cleared.begin());
  }
  record.cleared.push_back(aCrash);
}

void
CrashHistory::ClearEpisode(std::uint64_t aFingerprint, std::uint64_t aEpisode)
{
  Record& record = mRecords[aFingerprint];
  std::erase_if(record.crashes,
                [aEpisode](const Crash& aKnown) { return aKnown.episode == aEpisode; });
  Crash episode;
  episode.episode = aEpisode;
  ClearCrash(aFingerprint, episode);
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
  std::erase_if(mRecords, [this](const auto& aItem) { return IsExpired(aItem.second); });
}

void
CrashHistory::DropOldestWhenFull()
{
  if (mRecords.size() <= mSettings.maxFingerprints) {
    return;
  }
  const auto isOlder = [this](const auto& aLeft, const auto& aRight) {
    // Quarantines are dropped last, because nothing else protects the replicas from their requests.
    const bool isLeftQuarantined = IsOverThreshold(aLeft.second);
    const bool isRightQuarantined = IsOverThreshold(aRight.second);
    if (isLeftQuarantined != isRightQuarantined) {
      return isRightQuarantined;
    }
    return aLeft.second.lastSeen < aRight.second.lastSeen;
  };
  mRecords.erase(std::min_element(mRecords.begin(), mRecords.end(), isOlder));
}

} // namespace skylarkwing::upstream
