#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "upstream/crash_history.h"
#include "upstream/part_queue.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace skylarkwing::upstream {

/** The gate's callbacks to the dispatcher. */
struct FingerprintGateHooks
{
  /** Requests the permit of that name; false when it can't be had now. */
  std::function<core::Task<bool>(std::string)> acquirePermit;
  std::function<bool(const std::string&)> isPermitHeld;
  std::function<void(const std::string&)> releasePermit;
  /** Passes a part to its replica's worker. */
  std::function<void(const PendingPartPtr&)> run;
  /** Assesses a part again, after the one before it has ended. */
  std::function<void(const PendingPartPtr&)> route;
  /** Refuses a part that does not run. */
  std::function<void(const PendingPartPtr&, PartRefusal)> refuse;
};

/**
 * Lets one part of a fingerprint run at a time, until an answer has shown that it is harmless.
 *
 * A fingerprint that has already crashed one replica also needs a permit, which one daemon holds at
 * a time. Without it, two owners that have not yet learned of each other's crash could lose one
 * replica each.
 *
 * Not thread-safe: one instance belongs to one event loop, and its tasks keep it alive.
 */
class FingerprintGate : public std::enable_shared_from_this<FingerprintGate>
{
public:
  FingerprintGate(boost::asio::any_io_executor aExecutor,
                  core::TimerService& aTimers,
                  FingerprintGateHooks aHooks);

  /**
   * Runs a part when no other part of its fingerprint runs.
   *
   * @param aPart the part.
   * @param aNeedsPermit whether the fingerprint is suspected of crashing replicas.
   */
  void Enter(const PendingPartPtr& aPart, bool aNeedsPermit);

  /**
   * Removes a part that waits for its turn or its permit.
   *
   * @return false when it does not wait here.
   */
  bool Remove(const PendingPartPtr& aPart);

  /** Records that a part was answered; one that never passed here is ignored. */
  void OnEnded(const PendingPartPtr& aPart, PartStatus aStatus);

  /** @return whether that part is the one that runs, with the permit. */
  bool MayRunSuspect(const PartRequest& aRequest) const;

private:
  struct WaitingPart
  {
    PendingPartPtr part;
    core::TimerId deadlineTimer = 0;
  };

  struct Admission
  {
    PendingPartPtr running;
    bool isAwaitingPermit = false;
    bool hasPermit = false;
    core::TimerId permitTimer = 0;
    std::deque<WaitingPart> waiting;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  FingerprintGateHooks mHooks;
  std::unordered_map<std::uint64_t, Admission> mAdmissions;
  std::unordered_map<std::string, core::TimerId> mReleaseTimers;

  static core::Task<void> RunWithPermit(std::shared_ptr<FingerprintGate> aSelf,
                                        PendingPartPtr aPart);
  core::TimerId RefuseAtDeadline(const PendingPartPtr& aPart);
  void Wait(Admission& aAdmission, const PendingPartPtr& aPart);
  void ReleaseLater(const std::string& aPermit, core::Duration aDelay);
};

} // namespace skylarkwing::upstream
