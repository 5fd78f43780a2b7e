#include "query/crash_guard.h"

#include "core/name_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace skylarkwing::query {

namespace {

using upstream::CrashEvidence;
using upstream::EvidenceKind;
using upstream::FingerprintRisk;

constexpr core::NameTable<LossVerdict, 4> kVerdictNames{
  { "alive", "answered", "suspected", "quarantined" }
};

/** Duration of a quarantine; the store keeps evidence for ten minutes at most. */
constexpr core::Duration kQuarantineTime = std::chrono::minutes{ 6 };
constexpr core::Duration kMaxQuarantineTime = std::chrono::hours{ 4 };

/** Random extension of a quarantine, so that the daemons don't all try the request again at once.
 */
constexpr double kQuarantineSpread = 0.5;

/** How long a further end renews a quarantine that is over. */
constexpr core::Duration kProbationTime = std::chrono::hours{ 4 };

constexpr std::size_t kMaxFingerprints = 1024;
constexpr std::size_t kMaxEpisodes = 1024;
constexpr std::size_t kRecentAnswers = 4096;

upstream::CrashHistorySettings
HistorySettings(core::RandomSource& aRandom)
{
  const double factor = 1.0 + kQuarantineSpread * aRandom.Fraction();
  upstream::CrashHistorySettings settings;
  settings.crashesUntilQuarantine = CrashGuard::kCrashesUntilQuarantine;
  settings.quarantineTime = std::chrono::duration_cast<core::Duration>(kQuarantineTime * factor);
  settings.maxQuarantineTime =
    std::chrono::duration_cast<core::Duration>(kMaxQuarantineTime * factor);
  settings.probationTime = kProbationTime;
  settings.isExtendedByAttempts = false;
  settings.maxFingerprints = kMaxFingerprints;
  return settings;
}

} // namespace

std::string_view
NameOf(LossVerdict aVerdict)
{
  return kVerdictNames.NameOf(aVerdict);
}

std::uint32_t
CrashGuard::NumberOf(const std::string& aService)
{
  return static_cast<std::uint32_t>(XXH3_64bits(aService.data(), aService.size()));
}

CrashGuard::CrashGuard(core::TimerService& aTimers,
                       core::RandomSource& aRandom,
                       CrashGuardHooks aHooks)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mHooks(std::move(aHooks))
  , mHistory(aTimers, HistorySettings(aRandom))
  , mPublicEpisodes(kMaxEpisodes)
  , mRecentAnswers(kRecentAnswers)
{
}

std::optional<core::Duration>
CrashGuard::Refuse(std::uint64_t aFingerprint)
{
  if (!IsQuarantined(aFingerprint)) {
    return std::nullopt;
  }
  return mHistory.QuarantineLeft(aFingerprint);
}

std::shared_ptr<CrashWatch>
CrashGuard::Watch(std::uint64_t aFingerprint, std::string aRequest)
{
  return std::make_shared<CrashWatch>(*this, aFingerprint, std::move(aRequest));
}

void
CrashGuard::Merge(const CrashEvidence& aEvidence)
{
  mHistory.Merge(aEvidence);
  if (!IsPublic(aEvidence.episode)) {
    mPublicEpisodes.push_back(aEvidence.episode);
  }
}

bool
CrashGuard::IsPublic(std::uint64_t aEpisode) const
{
  return std::find(mPublicEpisodes.begin(), mPublicEpisodes.end(), aEpisode) !=
         mPublicEpisodes.end();
}

void
CrashGuard::PublishEpisode(std::uint64_t aFingerprint, std::uint64_t aEpisode)
{
  const std::vector<CrashEvidence> crashes = mHistory.EvidenceOf(aFingerprint);
  const auto crash =
    std::find_if(crashes.begin(), crashes.end(), [aEpisode](const CrashEvidence& aCrash) {
      return aCrash.episode == aEpisode;
    });
  if (crash == crashes.end() || IsPublic(aEpisode)) {
    return;
  }
  mPublicEpisodes.push_back(aEpisode);
  mHooks.publish(*crash);
}

bool
CrashGuard::IsInForce(const CrashEvidence& aEvidence) const
{
  if (mHistory.QuarantineLeft(aEvidence.fingerprint) <= core::Duration::zero()) {
    return false;
  }
  const std::vector<CrashEvidence> crashes = mHistory.EvidenceOf(aEvidence.fingerprint);
  return std::find(crashes.begin(), crashes.end(), aEvidence) != crashes.end();
}

bool
CrashGuard::IsQuarantined(std::uint64_t aFingerprint)
{
  return !mHistory.IsEmpty() && !IsAnsweredRecently(aFingerprint) &&
         mHistory.Assess(aFingerprint, {}) == FingerprintRisk::Quarantined;
}

bool
CrashGuard::IsSuspect(std::uint64_t aFingerprint)
{
  if (mHistory.IsEmpty() || IsAnsweredRecently(aFingerprint)) {
    return false;
  }
  const FingerprintRisk risk = mHistory.Assess(aFingerprint, {});
  return risk == FingerprintRisk::Suspect || risk == FingerprintRisk::Quarantined;
}

CrashGuard::RecentAnswer&
CrashGuard::RecentAnswerOf(std::uint64_t aFingerprint)
{
  return mRecentAnswers[aFingerprint % kRecentAnswers];
}

bool
CrashGuard::IsAnsweredRecently(std::uint64_t aFingerprint) const
{
  const RecentAnswer& answer = mRecentAnswers[aFingerprint % kRecentAnswers];
  return answer.fingerprint == aFingerprint && mTimers.Now() - answer.at < kRecentAnswerTime;
}

void
CrashGuard::RememberAnswer(std::uint64_t aFingerprint)
{
  RecentAnswerOf(aFingerprint) = { aFingerprint, mTimers.Now() };
}

const CrashGuard::Episode&
CrashGuard::EpisodeOf(std::uint64_t aFingerprint, core::TimePoint aSentAt)
{
  const auto it = mEpisodes.find(aFingerprint);
  if (it != mEpisodes.end() && aSentAt <= it->second.startedAt) {
    return it->second;
  }
  DropOldEpisodes();
  Episode& episode = mEpisodes[aFingerprint];
  episode.startedAt = mTimers.Now();
  episode.id = 0;
  if (IsAnsweredRecently(aFingerprint)) {
    // The next loss counts, unless there is an answer in between.
    RecentAnswerOf(aFingerprint) = {};
    return episode;
  }
  while (episode.id == 0) {
    episode.id =
      (mRandom.Below(std::uint64_t{ 1 } << 32U) << 32U) | mRandom.Below(std::uint64_t{ 1 } << 32U);
  }
  return episode;
}

void
CrashGuard::DropOldEpisodes()
{
  if (mEpisodes.size() < kMaxEpisodes) {
    return;
  }
  const auto oldest =
    std::min_element(mEpisodes.begin(), mEpisodes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.startedAt < aRight.second.startedAt;
    });
  mEpisodes.erase(oldest);
}

void
CrashGuard::Judge(const std::shared_ptr<CrashWatch>& aWatch,
                  const LostAttempt& aAttempt,
                  std::uint64_t aEpisode,
                  bool aHasEnded)
{
  const std::uint64_t fingerprint = aWatch->mFingerprint;
  LossReport report{ fingerprint, aWatch->mRequest, aAttempt, LossVerdict::Alive, 0 };
  if (aHasEnded && aEpisode == 0) {
    report.verdict = LossVerdict::Answered;
  }
  if (aHasEnded && aEpisode != 0) {
    const CrashEvidence evidence{ fingerprint,
                                  EvidenceKind::Crash,
                                  aAttempt.replica,
                                  std::to_string(aAttempt.processStart),
                                  NumberOf(aAttempt.service),
                                  aEpisode };
    mHistory.Merge(evidence);
    const bool isQuarantined = IsQuarantined(fingerprint);
    report.verdict = isQuarantined ? LossVerdict::Quarantined : LossVerdict::Suspected;
    auto& unpublished = aWatch->mUnpublishedEpisodes;
    if (std::find(unpublished.begin(), unpublished.end(), aEpisode) == unpublished.end()) {
      unpublished.push_back(aEpisode);
    }
    if (isQuarantined || aWatch->mIsEnded) {
      aWatch->PublishAll();
    }
  }
  report.crashes = CrashCount(fingerprint);
  mHooks.onLossJudged(report);
}

void
CrashGuard::RecordAnswer(std::uint64_t aFingerprint,
                         const std::string& aService,
                         core::TimePoint aSentAt)
{
  if (mHistory.IsEmpty()) {
    return;
  }
  for (const std::uint64_t episode : mHistory.Disprove(aFingerprint, NumberOf(aService), aSentAt)) {
    if (IsPublic(episode)) {
      mHooks.publish({ aFingerprint, EvidenceKind::Disproved, {}, {}, 0, episode });
    }
  }
}

} // namespace skylarkwing::query
