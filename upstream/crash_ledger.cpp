#include "upstream/crash_ledger.h"

#include "core/name_table.h"

#include <algorithm>
#include <chrono>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<EvidenceKind, 4> kKindNames{ { "crash", "alive", "harmless", "lifted" } };

constexpr std::size_t kMaximumSafeFingerprints = 16 * 1024;
constexpr std::size_t kMaximumRecords = 4 * 1024;
constexpr std::chrono::minutes kSuspicionLifetime{ 30 };
constexpr std::chrono::hours kQuarantineLifetime{ 24 };
constexpr char kIncarnationSeparator = '@';

std::string
CrashName(const std::string& aReplica, const std::string& aIncarnation)
{
  return aReplica + kIncarnationSeparator + aIncarnation;
}

bool
IsOfReplica(const std::string& aCrash, const std::string& aReplica)
{
  return aCrash.substr(0, aCrash.rfind(kIncarnationSeparator)) == aReplica;
}

bool
Contains(const std::vector<std::string>& aList, const std::string& aName)
{
  return std::find(aList.begin(), aList.end(), aName) != aList.end();
}

} // namespace

std::string_view
NameOf(EvidenceKind aKind)
{
  return kKindNames.NameOf(aKind);
}

CrashLedger::CrashLedger(const core::TimerService& aTimers)
  : mTimers(aTimers)
{
}

CrashVerdict
CrashLedger::Judge(std::uint64_t aFingerprint, const std::vector<std::string>& aCrashedReplicas)
{
  for (const std::string& crash : aCrashedReplicas) {
    AddCrash(aFingerprint, crash);
  }
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end() || it->second.crashes.empty()) {
    return IsSafe(aFingerprint) ? CrashVerdict::Safe : CrashVerdict::Untried;
  }
  if (it->second.crashes.size() < kCrashesUntilQuarantine) {
    return CrashVerdict::Suspect;
  }
  // Each further attempt renews the quarantine, so that it outlasts a caller who keeps trying.
  it->second.lastSeen = mTimers.Now();
  return CrashVerdict::Quarantined;
}

bool
CrashLedger::HasFallen(std::uint64_t aFingerprint, const std::string& aReplica) const
{
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end()) {
    return false;
  }
  return std::any_of(
    it->second.crashes.begin(), it->second.crashes.end(), [&aReplica](const std::string& aCrash) {
      return IsOfReplica(aCrash, aReplica);
    });
}

std::vector<std::string>
CrashLedger::CrashedReplicas(std::uint64_t aFingerprint) const
{
  const auto it = mRecords.find(aFingerprint);
  return it == mRecords.end() ? std::vector<std::string>{} : it->second.crashes;
}

void
CrashLedger::Merge(const CrashEvidence& aEvidence)
{
  switch (aEvidence.kind) {
    case EvidenceKind::Crash:
      AddCrash(aEvidence.fingerprint, CrashName(aEvidence.replica, aEvidence.incarnation));
      return;
    case EvidenceKind::Alive:
      ForgiveCrash(aEvidence.fingerprint, CrashName(aEvidence.replica, aEvidence.incarnation));
      return;
    case EvidenceKind::Harmless:
      RecordAnswer(aEvidence.fingerprint);
      return;
    case EvidenceKind::Lifted:
      ForgiveAll(aEvidence.fingerprint);
      return;
  }
}

bool
CrashLedger::RecordAnswer(std::uint64_t aFingerprint)
{
  const auto it = mRecords.find(aFingerprint);
  const std::size_t n = it == mRecords.end() ? 0 : it->second.crashes.size();
  // An answer that is older than the second crash must not end a quarantine.
  if (n >= kCrashesUntilQuarantine) {
    return false;
  }
  if (n > 0) {
    ForgiveAll(aFingerprint);
  }
  MarkSafe(aFingerprint);
  return n > 0;
}

std::vector<std::uint64_t>
CrashLedger::SuspectedOf(const std::string& aReplica, const std::string& aIncarnation) const
{
  const std::string name = CrashName(aReplica, aIncarnation);
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, record] : mRecords) {
    if (Contains(record.crashes, name)) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

std::vector<QuarantinedFingerprint>
CrashLedger::Quarantined() const
{
  std::vector<QuarantinedFingerprint> list;
  for (const auto& [fingerprint, record] : mRecords) {
    if (record.crashes.size() >= kCrashesUntilQuarantine) {
      list.push_back({ fingerprint, record.crashes, mTimers.Now() - record.lastSeen });
    }
  }
  return list;
}

void
CrashLedger::AddCrash(std::uint64_t aFingerprint, const std::string& aCrash)
{
  DropExpired();
  Record& record = mRecords[aFingerprint];
  if (Contains(record.crashes, aCrash) || Contains(record.forgiven, aCrash)) {
    return;
  }
  record.crashes.push_back(aCrash);
  record.lastSeen = mTimers.Now();
  ForgetSafe(aFingerprint);
  DropOldestWhenFull();
}

void
CrashLedger::ForgiveCrash(std::uint64_t aFingerprint, const std::string& aCrash)
{
  Record& record = mRecords[aFingerprint];
  std::erase(record.crashes, aCrash);
  record.lastSeen = mTimers.Now();
  if (!Contains(record.forgiven, aCrash)) {
    record.forgiven.push_back(aCrash);
  }
}

void
CrashLedger::ForgiveAll(std::uint64_t aFingerprint)
{
  for (const std::string& crash : CrashedReplicas(aFingerprint)) {
    ForgiveCrash(aFingerprint, crash);
  }
}

bool
CrashLedger::IsSafe(std::uint64_t aFingerprint)
{
  const auto it = mSafe.find(aFingerprint);
  if (it == mSafe.end()) {
    return false;
  }
  mSafeOrder.splice(mSafeOrder.begin(), mSafeOrder, it->second);
  return true;
}

void
CrashLedger::MarkSafe(std::uint64_t aFingerprint)
{
  if (IsSafe(aFingerprint)) {
    return;
  }
  mSafeOrder.push_front(aFingerprint);
  mSafe.emplace(aFingerprint, mSafeOrder.begin());
  if (mSafe.size() > kMaximumSafeFingerprints) {
    mSafe.erase(mSafeOrder.back());
    mSafeOrder.pop_back();
  }
}

void
CrashLedger::ForgetSafe(std::uint64_t aFingerprint)
{
  const auto it = mSafe.find(aFingerprint);
  if (it == mSafe.end()) {
    return;
  }
  mSafeOrder.erase(it->second);
  mSafe.erase(it);
}

void
CrashLedger::DropExpired()
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
CrashLedger::DropOldestWhenFull()
{
  if (mRecords.size() <= kMaximumRecords) {
    return;
  }
  const auto isOlder = [](const auto& aLeft, const auto& aRight) {
    // A quarantine is dropped last, because nothing else keeps its request from the replicas.
    const bool isLeftHeld = aLeft.second.crashes.size() >= kCrashesUntilQuarantine;
    const bool isRightHeld = aRight.second.crashes.size() >= kCrashesUntilQuarantine;
    if (isLeftHeld != isRightHeld) {
      return isRightHeld;
    }
    return aLeft.second.lastSeen < aRight.second.lastSeen;
  };
  mRecords.erase(std::min_element(mRecords.begin(), mRecords.end(), isOlder));
}

} // namespace skylarkwing::upstream
