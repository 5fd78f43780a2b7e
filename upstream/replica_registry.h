#pragma once

#include "core/timer_service.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::upstream {

/** A replica's announcement of itself. */
struct AnnouncedReplica
{
  /** Identifies one replica; some keep their id over a restart. */
  std::string id;
  std::string service;
  /** "IP:port". */
  std::string address;
  std::string failureDomain;
  /** Version of its software; empty when it doesn't say. */
  std::string version;
  std::uint32_t slots = 1;
  bool isDraining = false;
  /** Time for which it is still slow after its start, counted from the announcement. */
  core::Duration coldRemaining{};
  /** Sequence number of the announcement within its process. */
  std::uint64_t sequence = 0;
  /** Start of its process in Unix milliseconds; 0 when it doesn't say. */
  std::uint64_t startedAt = 0;
};

/** @return whether two announcements of one replica come from the same process. */
bool
IsSameProcess(const AnnouncedReplica& aLeft, const AnnouncedReplica& aRight);

/** @return whether an announcement comes from a process that started after the known one. */
bool
IsNewerProcess(const AnnouncedReplica& aNew, const AnnouncedReplica& aKnown);

/** What an announcement changes. */
enum class ReplicaChange
{
  /** Nothing; the replica is still alive. */
  None,
  New,
  /** Another process under the same id, or the same one at another address. */
  Restarted,
  Draining,
  /** It no longer drains. */
  Serving,
};

/** @return the name of a change, for logs. */
std::string_view
NameOf(ReplicaChange aChange);

/**
 * The registry of replicas that may get requests, from their announcements and from the
 * reachability of the store that passes them on.
 *
 * An entry that vanishes means that its replica shuts down, unless the store was unreachable: then
 * the entry may have expired although its replica is healthy, and the replica is held for a while.
 * A store that comes back from an older copy may list replicas that have left since; such an entry
 * counts only once it has outlived the time after which the store removes silent replicas.
 */
class ReplicaRegistry
{
public:
  /** Called with each accepted announcement, and what it changes. */
  using ChangeFunction = std::function<void(const AnnouncedReplica&, ReplicaChange)>;

  /** Called with the id of a replica that may get no more requests. */
  using RemoveFunction = std::function<void(const std::string&)>;

  /**
   * Time for which a missing entry is held after the store is reachable again; replicas announce
   * themselves again within 2 s.
   */
  static constexpr core::Duration kHoldAfterOutage = std::chrono::milliseconds{ 2500 };

  /** Time after a restore by which the store has removed the entries of replicas that had left. */
  static constexpr core::Duration kConfirmTime = std::chrono::seconds{ 6 };

  ReplicaRegistry(ChangeFunction aOnChange, RemoveFunction aOnRemove);

  /** Processes an announcement; one that is older than the known one is ignored. */
  void Announce(AnnouncedReplica aReplica);

  /** Removes the replica of an entry that can't be read. */
  void RejectEntry(const std::string& aId);

  /** Handles the removal of an entry. */
  void OnEntryRemoved(const std::string& aId, core::TimePoint aNow);

  /** Reconciles with the entries that exist: every other one counts as removed. */
  void Reconcile(const std::function<bool(const std::string&)>& aExists, core::TimePoint aNow);

  /** Called when the store doesn't answer. */
  void OnStoreUnreachable();

  /** Called when the store answers. */
  void OnStoreReachable(core::TimePoint aNow);

  /** Called when the store has come back from an older copy. */
  void OnStoreRestored(core::TimePoint aNow);

  /** Removes the replicas whose hold time is over, and accepts entries that a restore brought back.
   */
  void Expire(core::TimePoint aNow);

  /** @return the number of known replicas, including those that are held. */
  std::size_t Size() const { return mReplicas.size(); }

  /** @return the number of replicas that are held although their entry has vanished. */
  std::size_t HeldCount() const;

private:
  struct Entry
  {
    AnnouncedReplica replica;
    /** End of the hold while the entry is missing; empty until the store answers. */
    std::optional<core::TimePoint> heldUntil;
    bool isMissing = false;
  };

  ChangeFunction mOnChange;
  RemoveFunction mOnRemove;
  std::map<std::string, Entry> mReplicas;
  bool mIsStoreUnreachable = false;
  std::optional<core::TimePoint> mStoreReachableSince;
  /** End of the time in which entries of removed replicas are not accepted. */
  std::optional<core::TimePoint> mConfirmUntil;
  /** The replicas that were removed last. */
  boost::circular_buffer<AnnouncedReplica> mRemoved;
  /** Entries of removed replicas that came back with a restore, by id. */
  std::map<std::string, AnnouncedReplica> mUnconfirmed;

  bool IsUnconfirmed(const AnnouncedReplica& aReplica) const;
  void Remove(std::map<std::string, Entry>::iterator aEntry);
};

} // namespace skylarkwing::upstream
