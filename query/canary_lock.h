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
 * Lets one query at a time run the canary of a fingerprint on this daemon; the others wait for what
 * becomes of it. So a search that many callers send at once is tried out once.
 */
class CanaryLock
{
public:
  /** Replicas that crashed during the canary that was waited for. */
  using Crashed = std::set<std::string>;
  using Waiter = core::Mailbox<Crashed>;

  explicit CanaryLock(core::TimerService& aTimers);

  /**
   * Takes the fingerprint's place, or queues for it.
   *
   * @return nullptr when the caller holds the place now and must call Leave(); otherwise where the
   *         end of the present canary is announced.
   */
  std::shared_ptr<Waiter> Enter(std::uint64_t aFingerprint);

  /** Frees the place and wakes everyone who waits for it. */
  void Leave(std::uint64_t aFingerprint, const Crashed& aCrashed);

private:
  core::TimerService& mTimers;
  std::unordered_map<std::uint64_t, std::vector<std::shared_ptr<Waiter>>> mPlaces;
};

} // namespace skylarkwing::query
