#pragma once

#include "core/task.h"
#include "core/timer_service.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwing::query {

/**
 * Allows one canary per fingerprint at a time on this daemon. Other queries with the fingerprint
 * wait for its result, so a search that many callers send at once is tested once.
 */
class CanaryLock
{
public:
  /** Replicas that crashed during the canary. */
  using CrashedReplicas = std::set<std::string>;
  using Waiter = core::Mailbox<CrashedReplicas>;

  explicit CanaryLock(core::TimerService& aTimers);

  /**
   * Locks a fingerprint, or waits for the query that holds the lock.
   *
   * @return nullptr when the lock was acquired and Release() must be called; otherwise a mailbox
   * that receives the result of the running canary.
   */
  std::shared_ptr<Waiter> Acquire(std::uint64_t aFingerprint);

  /** Unlocks a fingerprint and sends the crashed replicas to all waiters. */
  void Release(std::uint64_t aFingerprint, const CrashedReplicas& aCrashed);

private:
  core::TimerService& mTimers;
  std::unordered_map<std::uint64_t, std::vector<std::shared_ptr<Waiter>>> mWaiters;
};

} // namespace skylarkwing::query
