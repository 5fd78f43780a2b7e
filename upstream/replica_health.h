#pragma once

#include "core/timer_service.h"
#include "declaration/declaration.h"
#include "upstream/latency_monitor.h"
#include "upstream/replica_lifecycle.h"
#include "upstream/replica_status.h"
#include "upstream/upstream_connection.h"
#include "upstream/warmup_ramp.h"

#include <cstdint>
#include <string>

namespace skylarkwing::upstream {

/**
 * An owner's view of one replica: its process, its state, and its concurrency limit.
 *
 * Turns what arrived over connections into events of the lifecycle, and decides which source takes
 * precedence. Does no I/O. Not thread-safe.
 */
class ReplicaHealth
{
public:
  /**
   * @param aTimers the clock; it must outlive this object.
   * @param aLimits the replica's limits.
   * @param aListener called after each change of state; it must not call this object's Record
   *        functions.
   */
  ReplicaHealth(const core::TimerService& aTimers,
                const declaration::UpstreamLimits& aLimits,
                ReplicaLifecycle::Listener aListener);

  /** @return the state of the replica. */
  ReplicaState State() const { return mLifecycle.State(); }

  /** @return the process that was seen last, empty before the first. */
  const std::string& Incarnation() const { return mIncarnation; }

  /** @return whether the replica may get new requests at all. */
  bool IsServing() const;

  /** @return whether new requests need the permit for replicas that are not warm. */
  bool NeedsPermit() const;

  /** @return how many requests may run at a time, 0 when it may get none. */
  std::uint32_t Allowance() const;

  /** @return the expected time of one request. */
  core::Duration RunTime() const;

  /** @return the times of the replica's requests. */
  const LatencyMonitor& Latency() const { return mLatency; }

  /**
   * @return whether the process answered a search so recently that this takes precedence over other
   *         signs.
   */
  bool HasRecentAnswer() const;

  /** Takes the replica's failure domain out of service or brings it back. */
  void SetDomainOut(bool aIsOut);

  /** This daemon no longer owns the replica; nothing changes its state afterwards. */
  void LoseOwnership();

  /** No connection can be made. */
  void RecordUnreachable();

  /** The permit was lost before a write. */
  void RecordPermitLost();

  /**
   * Records which process is at the other end of a connection.
   *
   * @return whether it is another one than before.
   */
  bool RecordProcess(const std::string& aIncarnation);

  /**
   * Records the state that the load endpoint reports, after RecordProcess().
   *
   * @param aState the reported state.
   */
  void RecordLoad(UpstreamState aState);

  /**
   * Records what a process says of itself in the header of any answer, after RecordProcess(). A
   * notice of another process, or of being warm, changes nothing.
   */
  void RecordNotice(const ProcessNotice& aNotice);

  /**
   * Records that a search was answered or shed on a connection of the process that the reply names.
   */
  void RecordReply(const SearchReply& aReply, core::Duration aTook);

  /** Records that a search ended without an answer. */
  void RecordFailure();

  /** Records that a connection broke during a search, or that its answer did not match. */
  void RecordReset();

private:
  const core::TimerService& mTimers;
  ReplicaLifecycle mLifecycle;
  WarmupRamp mRamp;
  LatencyMonitor mLatency;
  std::string mIncarnation;
  bool mHasLostOwnership = false;
  core::TimePoint mLastAnswer;
  core::TimePoint mDrainNotice;

  bool IsDrainNoticeFresh() const;
  void RecordTime(core::Duration aTook);
};

} // namespace skylarkwing::upstream
