#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

class CrashGuard;

/** An attempt whose connection was lost after the request had been written. */
struct LostAttempt
{
  std::string service;
  std::string replica;
  /** Start of the replica's process in Unix milliseconds, which tells it from a later process. */
  std::uint64_t processStart = 0;
  core::TimePoint sentAt;
};

/**
 * Follows the attempts at one request, and decides which of them may be made after replicas have
 * ended under it.
 *
 * Not thread-safe: one instance belongs to one event loop. The guard must outlive it.
 */
class CrashWatch : public std::enable_shared_from_this<CrashWatch>
{
public:
  /** Called with whether the retry may be made. */
  using RetryFunction = std::function<void(bool aMayRun)>;

  CrashWatch(CrashGuard& aGuard, std::uint64_t aFingerprint, std::string aRequest);

  /** @return whether the request may be sent to a replica now. */
  bool MaySend() const;

  /** @return whether the request may have ended replicas; it isn't hedged then. */
  bool IsSuspect() const;

  /** @return whether the request may have ended a replica of a service. */
  bool IsSuspectAt(const std::string& aService) const;

  /** Records a lost attempt, and finds out whether its replica has ended. */
  void RecordLoss(const LostAttempt& aAttempt);

  /** Records that a replica of a service has answered an attempt. */
  void RecordAnswer(const std::string& aService, core::TimePoint aSentAt);

  /**
   * Requests to send a lost part again. Until some part of the request was answered, one part is
   * sent again at a time, all but the first one only when the earlier losses have been judged.
   */
  void RequestRetry(RetryFunction aRetry);

  /** Reports that the allowed retry has ended, or wasn't sent. */
  void EndRetry();

  /** Ends the watch. @param aIsAnswered whether the caller got an answer. */
  void End(bool aIsAnswered);

private:
  friend class CrashGuard;

  CrashGuard& mGuard;
  std::uint64_t mFingerprint;
  std::string mRequest;
  /** Episodes of its losses, of which other daemons hear if the request isn't answered. */
  std::vector<std::uint64_t> mUnpublishedEpisodes;
  /** Services whose last attempt was lost. */
  std::set<std::string> mLostServices;
  std::vector<RetryFunction> mWaitingRetries;
  std::size_t mPendingChecks = 0;
  bool mIsRetrying = false;
  bool mHasRetried = false;
  /** Whether a part was answered, so that the request doesn't end each replica that runs it. */
  bool mIsCleared = false;
  bool mIsEnded = false;

  void StartRetries();
  void PublishAll();
};

} // namespace skylarkwing::query
