#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"
#include "query/crash_watch.h"
#include "upstream/crash_history.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwing::query {

/** How a lost attempt is judged. */
enum class LossVerdict
{
  /** The replica's process is alive or is shutting down; only the connection was lost. */
  Alive,
  /** The process has ended; a fingerprint that was just answered is not suspected for it. */
  Answered,
  /** The process has ended, and the fingerprint is suspected. */
  Suspected,
  /** The process has ended, and the fingerprint is quarantined. */
  Quarantined,
};

/** @return the name of a verdict, for logs and metric labels. */
std::string_view
NameOf(LossVerdict aVerdict);

/** The judgement of one lost attempt, for logs and metrics. */
struct LossReport
{
  std::uint64_t fingerprint = 0;
  std::string request;
  LostAttempt attempt;
  LossVerdict verdict = LossVerdict::Alive;
  /** Independent crashes that count against the fingerprint. */
  std::size_t crashes = 0;
};

/** The callbacks of the guard. */
struct CrashGuardHooks
{
  /** Finds out whether the process of a replica has ended, now or later. */
  std::function<void(const std::string& aReplica, std::function<void(bool)> aCallback)> checkEnded;
  /** Sends evidence to all other daemons. */
  std::function<void(const upstream::CrashEvidence&)> publish;
  /** Called with each judgement of a lost attempt. */
  std::function<void(const LossReport&)> onLossJudged;
};

/**
 * Keeps requests that end the processes of replicas from ending more of them, over all attempts of
 * their callers and with all daemons.
 *
 * A replica's end can't be attributed to one of the requests that it was running, so that all of
 * them are suspected. An answer clears a request; three independent ends without an answer in
 * between quarantine it for a time, in which it is refused. Ends of replicas under attempts that
 * were under way together count once: a failure that takes many replicas at the same moment
 * quarantines nothing.
 *
 * Does no I/O. Not thread-safe: one instance belongs to one event loop.
 */
class CrashGuard
{
public:
  /** Independent ends of replicas after which a request is quarantined. */
  static constexpr std::size_t kCrashesUntilQuarantine = 3;

  /** A fingerprint that was answered within this time isn't suspected for the next loss. */
  static constexpr core::Duration kRecentAnswerTime = std::chrono::seconds{ 10 };

  CrashGuard(core::TimerService& aTimers, core::RandomSource& aRandom, CrashGuardHooks aHooks);
  CrashGuard(const CrashGuard&) = delete;
  CrashGuard& operator=(const CrashGuard&) = delete;

  /** @return the time until a quarantined request may be tried again, nothing if it may run now. */
  std::optional<core::Duration> Refuse(std::uint64_t aFingerprint);

  /**
   * Starts to watch a request.
   *
   * @param aRequest id of the caller's attempt, for reports.
   */
  std::shared_ptr<CrashWatch> Watch(std::uint64_t aFingerprint, std::string aRequest);

  /** Applies evidence of another daemon; applying it twice changes nothing. */
  void Merge(const upstream::CrashEvidence& aEvidence);

  /** @return whether a crash counts against a fingerprint that is quarantined now. */
  bool IsInForce(const upstream::CrashEvidence& aEvidence) const;

  /** @return the number of independent crashes that count against a fingerprint. */
  std::size_t CrashCount(std::uint64_t aFingerprint) const
  {
    return mHistory.CrashCount(aFingerprint);
  }

private:
  friend class CrashWatch;

  /** Attempts that were under way when the first of them was lost. */
  struct Episode
  {
    /** 0 when the losses don't count. */
    std::uint64_t id = 0;
    core::TimePoint startedAt;
  };

  /** An entry of the table of recent answers. */
  struct RecentAnswer
  {
    std::uint64_t fingerprint = 0;
    core::TimePoint at{};
  };

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  CrashGuardHooks mHooks;
  upstream::CrashHistory mHistory;
  std::unordered_map<std::uint64_t, Episode> mEpisodes;
  /** Episodes that other daemons know of. */
  boost::circular_buffer<std::uint64_t> mPublicEpisodes;
  /** A hash table without chains, so that its size is fixed; a collision forgets an answer. */
  std::vector<RecentAnswer> mRecentAnswers;

  /** @return a number for a service, the same on all daemons. */
  static std::uint32_t NumberOf(const std::string& aService);
  bool IsQuarantined(std::uint64_t aFingerprint);
  bool IsSuspect(std::uint64_t aFingerprint);
  bool IsAnsweredRecently(std::uint64_t aFingerprint) const;
  void RememberAnswer(std::uint64_t aFingerprint);
  RecentAnswer& RecentAnswerOf(std::uint64_t aFingerprint);
  const Episode& EpisodeOf(std::uint64_t aFingerprint, core::TimePoint aSentAt);
  void DropOldEpisodes();
  bool IsPublic(std::uint64_t aEpisode) const;
  void PublishEpisode(std::uint64_t aFingerprint, std::uint64_t aEpisode);
  void Judge(const std::shared_ptr<CrashWatch>& aWatch,
             const LostAttempt& aAttempt,
             std::uint64_t aEpisode,
             bool aHasEnded);
  void RecordAnswer(std::uint64_t aFingerprint,
                    const std::string& aService,
                    core::TimePoint aSentAt);
};

} // namespace skylarkwing::query
