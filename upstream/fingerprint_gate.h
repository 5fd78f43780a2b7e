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

/** How the gate reaches the rest of the dispatcher. */
struct FingerprintGateHooks
{
  /** Asks for the lease of that name; false when it can't be had now. */
  std::function<core::Task<bool>(std::string)> acquireClaim;
  std::function<bool(const std::string&)> isClaimHeld;
  std::function<void(const std::string&)> releaseClaim;
  /** Sends a part on to its replica's worker. */
  std::function<void(const PendingPartPtr&)> run;
  /** Judges a part anew, after the one before it has ended. */
  std::function<void(const PendingPartPtr&)> route;
  /** Answers a part that does not run. */
  std::function<void(const PendingPartPtr&, PartRefusal)> refuse;
};

/**
 * Lets one part of a fingerprint run at a time, until an answer has shown that it is harmless.
 *
 * A fingerprint that has already cost one replica also needs a claim, a lease that one daemon holds
 * at a time. Without it, two owners that have not heard of each other's crash could each lose one.
 *
 * Not thread-safe: one instance belongs to one event loop, and outlives its tasks by a shared
 * pointer.
 */
class FingerprintGate : public std::enable_shared_from_this<FingerprintGate>
{
public:
  FingerprintGate(boost::asio::any_io_executor aExecutor,
                  core::TimerService& aTimers,
                  FingerprintGateHooks aHooks);

  /**
   * Runs a part when its fingerprint's turn has come.
   *
   * @param aPart the part.
   * @param aNeedsClaim whether the fingerprint is suspected.
   */
  void Enter(const PendingPartPtr& aPart, bool aNeedsClaim);

  /**
   * Takes a part out that waits for its turn or its claim.
   *
   * @return false when it does not wait here.
   */
  bool Remove(const PendingPartPtr& aPart);

  /** Notes that a part has its answer; one that never passed here is ignored. */
  void OnEnded(const PendingPartPtr& aPart, PartStatus aStatus);

  /** @return whether that part is the one that runs, with the claim if one is needed. */
  bool MayRunSuspect(const PartRequest& aRequest) const;

private:
  struct Waiting
  {
    PendingPartPtr part;
    core::TimerId deadlineTimer = 0;
  };

  struct Flight
  {
    PendingPartPtr running;
    bool isAwaitingClaim = false;
    bool hasClaim = false;
    core::TimerId claimTimer = 0;
    std::deque<Waiting> waiting;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  FingerprintGateHooks mHooks;
  std::unordered_map<std::uint64_t, Flight> mFlights;
  std::unordered_map<std::string, core::TimerId> mReleaseTimers;

  static core::Task<void> RunClaimed(std::shared_ptr<FingerprintGate> aSelf, PendingPartPtr aPart);
  core::TimerId RefuseAtDeadline(const PendingPartPtr& aPart);
  void Wait(Flight& aFlight, const PendingPartPtr& aPart);
  void ReleaseLater(const std::string& aClaim, core::Duration aDelay);
};

} // namespace skylarkwing::upstream
