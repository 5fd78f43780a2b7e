#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "upstream/crash_history.h"
#include "upstream/part.h"
#include "upstream/replica_status.h"
#include "upstream/replica_worker.h"
#include "upstream/upstream_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/** The dispatcher's callbacks to the rest of the daemon. */
struct DispatcherHooks
{
  /**
   * Requests a permit by name: a replica's name, or "fingerprint-" and 16 hexadecimal digits. One
   * daemon at a time holds a permit; requesting one that this daemon holds succeeds at once.
   */
  std::function<core::Task<bool>(std::string)> acquirePermit;
  /** Whether a permit is certainly held at this moment; checked immediately before each send. */
  std::function<bool(const std::string&)> isPermitHeld;
  std::function<void(const std::string&)> releasePermit;
  /** Sends evidence to all other daemons, which pass it to their Merge(). */
  std::function<void(const CrashEvidence&)> broadcastCrash;
  /** Makes connections; over HTTP when it is not set. */
  ConnectionFactory connect;
};

/** Called with a replica's status when more than its counts has changed. */
using ReplicaStatusListener = std::function<void(const ReplicaStatus&)>;

/**
 * Dispatches parts to the replicas that this daemon owns. Only the owner connects to a replica.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class PartDispatcher
{
public:
  PartDispatcher(boost::asio::any_io_executor aExecutor,
                 core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 core::Metrics& aMetrics,
                 DispatcherHooks aHooks);
  PartDispatcher(const PartDispatcher&) = delete;
  PartDispatcher& operator=(const PartDispatcher&) = delete;
  /** Closes the connections at once; Stop() is the graceful way. */
  ~PartDispatcher();

  /**
   * Sets the replicas that this daemon owns. One that is no longer among them finishes its running
   * parts, refuses its queued ones, and then closes its connections.
   */
  void SetOwned(const std::vector<OwnedReplica>& aReplicas);

  /**
   * @return whether running parts or connections of a replica that is no longer owned are left
   *         here.
   */
  bool IsReleasing(const std::string& aReplica) const;

  /**
   * Accepts a part for an owned replica; the callback is called exactly once, possibly before this
   * returns.
   */
  void Dispatch(PartRequest aRequest, PartCallback aCallback);

  /** Cancels a part; its callback is still called once. An unknown part is ignored. */
  void Cancel(const std::string& aPartId);

  /** Applies evidence that another daemon has broadcast. */
  void Merge(const CrashEvidence& aEvidence);

  /** @return every crash that counts; a daemon that has just joined is to Merge() them. */
  std::vector<CrashEvidence> Evidence() const;

  /** Lifts the quarantine of a fingerprint, here and on all daemons that receive the broadcast. */
  void LiftQuarantine(std::uint64_t aFingerprint);

  /** @return the names of the replicas known to have crashed while running the fingerprint. */
  std::vector<std::string> CrashedReplicas(std::uint64_t aFingerprint) const;

  /** @return the quarantined fingerprints. */
  std::vector<QuarantinedFingerprint> QuarantinedFingerprints() const;

  /** @return the status of each owned replica, without the owner's name. */
  std::vector<ReplicaStatus> Statuses() const;

  /** Sets the listener for changed statuses. */
  void OnStatusChange(ReplicaStatusListener aListener);

  /** Accepts no more parts, finishes the running ones, and closes the connections. */
  core::Task<void> Stop();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::upstream
