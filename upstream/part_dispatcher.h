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

/** How the owner side of a daemon reaches the rest of it. */
struct DispatcherHooks
{
  /**
   * Asks for a permit by its name: a replica's name, or "fingerprint-" and 16 hexadecimal digits.
   * One daemon at a time holds a permit; asking for one that is held here succeeds at once.
   */
  std::function<core::Task<bool>(std::string)> acquirePermit;
  /** Whether a permit is certainly held at this moment; asked immediately before each send. */
  std::function<bool(const std::string&)> isPermitHeld;
  std::function<void(const std::string&)> releasePermit;
  /** Sends evidence to all other daemons, which give it to their Merge(). */
  std::function<void(const CrashEvidence&)> broadcastCrash;
  /** Makes connections; over HTTP when it is not set. */
  ConnectionFactory connect;
};

/** Called with a replica's fact when more than its counts has changed. */
using ReplicaStatusListener = std::function<void(const ReplicaStatus&)>;

/**
 * The owner side of a daemon: it takes parts for the replicas that the daemon owns, and it alone
 * connects to them.
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
   * Sets the replicas that this daemon owns. One that is no longer among them finishes what runs,
   * refuses what waits, and then loses its connections.
   */
  void SetOwned(const std::vector<OwnedReplica>& aReplicas);

  /** @return whether work or connections of a replica that is no longer owned are left here. */
  bool IsReleasing(const std::string& aReplica) const;

  /** Takes a part for an owned replica; the callback comes exactly once, possibly at once. */
  void Dispatch(PartRequest aRequest, PartCallback aCallback);

  /** Gives up a part; its callback still comes once. An unknown part is ignored. */
  void Cancel(const std::string& aPartId);

  /** Takes in evidence that another daemon has broadcast. */
  void Merge(const CrashEvidence& aEvidence);

  /** @return every crash that counts; a daemon that has just joined is to Merge() them. */
  std::vector<CrashEvidence> Evidence() const;

  /** Lets a quarantined fingerprint run again, here and on all daemons that hear of it. */
  void LiftQuarantine(std::uint64_t aFingerprint);

  /** @return the names of the replicas known to have crashed while running the fingerprint. */
  std::vector<std::string> CrashedReplicas(std::uint64_t aFingerprint) const;

  /** @return the fingerprints that run no more. */
  std::vector<QuarantinedFingerprint> QuarantinedFingerprints() const;

  /** @return what this daemon knows about its replicas, without the owner's name. */
  std::vector<ReplicaStatus> Statuses() const;

  /** Sets who hears of changed facts. */
  void OnStatusChange(ReplicaStatusListener aListener);

  /** Takes no more parts, finishes what runs, and closes the connections. */
  core::Task<void> Stop();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::upstream
