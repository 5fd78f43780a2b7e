#pragma once

#include "core/timer_service.h"
#include "upstream/replica_rate_limit.h"
#include "upstream/replica_registry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::upstream {

/** What a replica announces in the header of any of its answers. */
struct ReplicaNotice
{
  /** It shuts down soon and accepts no new requests. */
  bool isLeaving = false;
  /** Time for which it wants no requests from this daemon. */
  std::optional<core::Duration> backoff;
  /**
   * Whether maxRate is the replica's state; not so for an answer to an unknown request, which may
   * be old, or when the rate can't be read.
   */
  bool hasRateState = false;
  /** Whether the answer names a rate that can't be read. */
  bool isRateUnreadable = false;
  /** Requests per second that it accepts from all daemons together; nothing means no limit. */
  std::optional<double> maxRate{};
};

/** What a notice changes. */
enum class AvailabilityChange
{
  None,
  /** The replica shuts down. */
  Leaving,
  /** A backoff begins. */
  Backoff,
};

/** @return the name of a change, for logs and metric labels. */
std::string_view
NameOf(AvailabilityChange aChange);

/**
 * Whether one process of a replica accepts requests from this daemon, according to its own answers.
 *
 * A process that is shutting down stays so: neither an answer without the notice nor an
 * announcement that was written earlier changes that, only a new process does.
 *
 * When a backoff ends, each daemon waits a little longer by a random share, starts with one request
 * and doubles its limit with each answer. Otherwise tens of daemons with full queues would overload
 * the replica again at once. Does no I/O.
 */
class ReplicaAvailability
{
public:
  /** Random extension of a backoff, as a share of the requested time. */
  static constexpr double kBackoffJitter = 0.25;

  /** Limit of requests in flight at which the ramp ends; a few times the slots of a replica. */
  static constexpr std::size_t kRampEndInFlight = 32;

  /**
   * Longest backoff; longer ones are cut to it, since a new process ends a backoff anyway and no
   * deployment waits for longer.
   */
  static constexpr core::Duration kMaxBackoff = std::chrono::hours{ 24 };

  /**
   * Applies the notice of an answer.
   *
   * @param aJitter a random number from 0 to 1 that spreads the daemons' returns.
   * @return what it changes; extending a backoff changes nothing.
   */
  AvailabilityChange Apply(const ReplicaNotice& aNotice, double aJitter, core::TimePoint aNow);

  /** The limit on the rate of requests from all daemons together. */
  ReplicaRateLimit& RateLimit() { return mRateLimit; }
  const ReplicaRateLimit& RateLimit() const { return mRateLimit; }

  /** Records that a request got an answer other than a rejection. */
  void RecordAnswer(core::TimePoint aNow);

  bool IsLeaving() const { return mIsLeaving; }
  bool IsBackingOff(core::TimePoint aNow) const { return aNow < mBackoffEnd; }

  /** @return when this daemon may send again; in the past when there is no backoff. */
  core::TimePoint BackoffEnd() const { return mBackoffEnd; }

  /** @return how many requests may be in flight at the replica. */
  std::size_t MaxInFlight(core::TimePoint aNow) const;

private:
  bool mIsLeaving = false;
  ReplicaRateLimit mRateLimit;
  core::TimePoint mBackoffEnd{};
  /** Limit of requests in flight during the ramp after a backoff; nothing when there is no ramp. */
  std::optional<std::size_t> mRampLimit;
};

/**
 * Keeps the availabilities of replicas whose entries have vanished. An entry may come back after an
 * outage of the store, or from an outdated copy, and must not revive a process that has shut down.
 */
class RemovedReplicas
{
public:
  /** Most replicas that are kept; a few times those of a large deployment. */
  static constexpr std::size_t kMaxReplicas = 4096;

  /** Keeps the availability of a removed replica that leaves, backs off or limits its rate. */
  void Keep(const AnnouncedReplica& aReplica,
            const ReplicaAvailability& aAvailability,
            core::TimePoint aNow);

  /**
   * Returns and drops the availability of a replica that is announced again.
   *
   * @return a fresh one for a newer process or an unknown replica.
   */
  ReplicaAvailability Take(const AnnouncedReplica& aReplica);

  std::size_t Size() const { return mRemoved.size(); }

private:
  struct RemovedReplica
  {
    AnnouncedReplica replica;
    ReplicaAvailability availability;
    std::uint64_t order = 0;
  };

  std::map<std::string, RemovedReplica> mRemoved;
  /** Ids by the order in which they were kept. */
  std::map<std::uint64_t, std::string> mByOrder;
  std::uint64_t mLastOrder = 0;

  void Erase(std::map<std::string, RemovedReplica>::iterator aEntry);
};

} // namespace skylarkwing::upstream
