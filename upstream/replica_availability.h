#pragma once

#include "core/timer_service.h"
#include "upstream/replica_registry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::upstream {

/** What a replica asks for in the head of any of its answers. */
struct ReplicaNotice
{
  /** It shuts down soon and wants no new requests. */
  bool isLeaving = false;
  /** It wants no requests from this daemon for so long. */
  std::optional<core::Duration> backoff;
};

/** What a notice changes. */
enum class AvailabilityChange
{
  None,
  /** The replica leaves. */
  Leaving,
  /** A rest begins. */
  Backoff,
};

/** @return the name of a change, for logs and metric labels. */
std::string_view
NameOf(AvailabilityChange aChange);

/**
 * Whether one process of a replica wants requests from this daemon, by what its own answers said.
 *
 * A process that leaves never comes back: neither an answer without the notice nor an announcement
 * that was written earlier changes that, only another process does.
 *
 * Answers the load that returns when a rest ends: each daemon stays away a little longer by a
 * random share, begins with one request and doubles with each answer, so that tens of daemons with
 * full queues don't overload the replica again at once. A decision without tasks or sockets.
 */
class ReplicaAvailability
{
public:
  /** A daemon stays away up to this share longer than it was asked to. */
  static constexpr double kBackoffJitter = 0.25;

  /** Requests under way at which the return is over; a few times the slots of a replica. */
  static constexpr std::size_t kRampEndInFlight = 32;

  /** A longer rest counts as this: no deployment waits for one, and a new process ends it. */
  static constexpr core::Duration kMaxBackoff = std::chrono::hours{ 24 };

  /**
   * Takes in what an answer says.
   *
   * @param aSpread a random number from 0 to 1, which spreads the daemons.
   * @return what it changes; a rest that is extended changes nothing.
   */
  AvailabilityChange Take(const ReplicaNotice& aNotice, double aSpread, core::TimePoint aNow);

  /** Takes in that a request was answered otherwise than by turning it away. */
  void RecordAnswer(core::TimePoint aNow);

  bool IsLeaving() const { return mIsLeaving; }
  bool IsBackingOff(core::TimePoint aNow) const { return aNow < mBackoffEnd; }

  /** @return when this daemon may come back; in the past when the replica wants no rest. */
  core::TimePoint BackoffEnd() const { return mBackoffEnd; }

  /** @return how many requests may be under way at the replica. */
  std::size_t MaxInFlight(core::TimePoint aNow) const;

private:
  bool mIsLeaving = false;
  core::TimePoint mBackoffEnd{};
  /** Room while the daemon returns after a rest; nothing when it has none behind it. */
  std::optional<std::size_t> mRampLimit;
};

/**
 * The standings of replicas whose entries have vanished, so that an entry that comes back, after an
 * outage of the store or from a copy that is behind, doesn't bring back a process that has left.
 */
class RemovedReplicas
{
public:
  /** Replicas that are remembered; a few times those of a large deployment. */
  static constexpr std::size_t kMaxReplicas = 4096;

  /** Keeps the standing of a replica that is dropped, when it matters. */
  void Keep(const AnnouncedReplica& aReplica,
            const ReplicaAvailability& aAvailability,
            core::TimePoint aNow);

  /**
   * Gives back the standing of a replica that is announced again.
   *
   * @return a fresh one for a newer process or an unknown replica.
   */
  ReplicaAvailability Take(const AnnouncedReplica& aReplica);

  std::size_t Size() const { return mRemoved.size(); }

private:
  struct RemovedReplica
  {
    AnnouncedReplica replica;
    ReplicaAvailability standing;
    std::uint64_t order = 0;
  };

  std::map<std::string, RemovedReplica> mRemoved;
  /** Ids by the order in which they were kept. */
  std::map<std::uint64_t, std::string> mByOrder;
  std::uint64_t mLastOrder = 0;

  void Erase(std::map<std::string, RemovedReplica>::iterator aEntry);
};

} // namespace skylarkwing::upstream
