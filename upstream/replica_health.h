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
 * What an owner believes about one replica: its process, its state, and how much may run there.
 *
 * It turns what came over connections into events of the lifecycle, and decides which source
 * outranks which. A decision without tasks or sockets. Not thread-safe.
 */
class ReplicaHealth
{
public:
  /**
   * @param aTimers tells the time; it must outlive this.
   * @param aLimits what the replica bears.
   * @param aListener called after each change of state; it must not report anything here.
   */
  ReplicaHealth(const core::TimerService& aTimers,
                const declaration::UpstreamLimits& aLimits,
                ReplicaLifecycle::Listener aListener);

  /** @return the state of the replica. */
  ReplicaState State() const { return mLife.State(); }

  /** @return the process that was seen last, empty while none was. */
  const std::string& Incarnation() const { return mIncarnation; }

  /** @return whether the replica may get new work at all. */
  bool IsServing() const;

  /** @return whether new work needs the permit for replicas that are not warm. */
  bool NeedsPermit() const;

  /** @return how many requests may run at a time, 0 when it may get none. */
  std::uint32_t Allowance() const;

  /** @return the expected time of one request. */
  core::Duration RunTime() const;

  /** @return the times of the replica's requests. */
  const LatencyMonitor& Latency() const { return mLatency; }

  /** @return whether the process answered a search so lately that this outranks other signs. */
  bool HasRecentAnswer() const;

  /** Operators took the replica's failure domain out or brought it back. */
  void SetDomainOut(bool aIsOut);

  /** This daemon does not own the replica any more; nothing changes its state afterwards. */
  void LoseOwnership();

  /** No connection can be made. */
  void RecordUnreachable();

  /** The permit was lost before a write. */
  void RecordPermitLost();

  /**
   * A connection has shown which process is at the other end.
   *
   * @return whether it is another one than before.
   */
  bool RecordProcess(const std::string& aIncarnation);

  /**
   * Takes in what the load endpoint says, after RecordProcess().
   *
   * @param aState the state that it reports.
   */
  void RecordLoad(UpstreamState aState);

  /**
   * Takes in what a process says of itself in the head of any answer, after RecordProcess(). A
   * notice of another process, or of being warm, changes nothing.
   */
  void RecordNotice(const ProcessNotice& aNotice);

  /** A search was answered or shed on a connection of the process that the reply names. */
  void RecordReply(const SearchReply& aReply, core::Duration aTook);

  /** A search ended without an answer. */
  void RecordFailure();

  /** A connection broke under a search, or its answer did not match. */
  void RecordReset();

private:
  const core::TimerService& mTimers;
  ReplicaLifecycle mLife;
  WarmupRamp mRamp;
  LatencyMonitor mLatency;
  std::string mIncarnation;
  bool mIsLost = false;
  core::TimePoint mLastAnswer;
  core::TimePoint mDrainNotice;

  bool IsDrainNoticeFresh() const;
  void RecordTime(core::Duration aTook);
};

} // namespace skylarkwing::upstream
