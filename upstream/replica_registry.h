#pragma once

#include "core/timer_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::upstream {

/** What a replica announces of itself. */
struct AnnouncedReplica
{
  /** Names one replica; some keep it over a restart. */
  std::string id;
  std::string service;
  /** "IP:port". */
  std::string address;
  std::string failureDomain;
  std::uint32_t slots = 1;
  bool isDraining = false;
  /** How much longer it is slow after its start, counted from the announcement. */
  core::Duration coldRemaining{};
  /** Counts a process's announcements. */
  std::uint64_t sequence = 0;
  /** When its process started, in Unix milliseconds; 0 when it doesn't say. */
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
  /** Another sign of life. */
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
 * The replicas that may get work, from what they announce and from how the store that passes it on
 * has behaved.
 *
 * An entry that vanishes means that its replica leaves, unless the store was away: then the entry
 * may have expired under a healthy replica, and it is held for a while.
 */
class ReplicaRegistry
{
public:
  /** Called with each announcement that is taken in, and what it changes. */
  using ChangeFunction = std::function<void(const AnnouncedReplica&, ReplicaChange)>;

  /** Called with the id of a replica that may get no more work. */
  using RemoveFunction = std::function<void(const std::string&)>;

  /** How long after the store's return a missing entry is held: replicas are back within 2 s. */
  static constexpr core::Duration kHoldAfterOutage = std::chrono::milliseconds{ 2500 };

  ReplicaRegistry(ChangeFunction aOnChange, RemoveFunction aOnRemove);

  /** Takes in an announcement; one that is older than what is known is ignored. */
  void Announce(AnnouncedReplica aReplica);

  /** Takes in that an entry exists which names no usable replica. */
  void RejectEntry(const std::string& aId);

  /** Takes in that an entry has vanished. */
  void OnEntryRemoved(const std::string& aId, core::TimePoint aNow);

  /** Takes in the ids of all entries that exist: every other one has vanished. */
  void Reconcile(const std::function<bool(const std::string&)>& aExists, core::TimePoint aNow);

  /** Takes in that the store doesn't answer. */
  void OnStoreUnreachable();

  /** Takes in that the store answers. */
  void OnStoreReachable(core::TimePoint aNow);

  /** Removes the entries whose hold is over. */
  void Expire(core::TimePoint aNow);

  /** @return how many replicas are known, with those that are held. */
  std::size_t Size() const { return mReplicas.size(); }

  /** @return how many replicas are held although their entry has vanished. */
  std::size_t HeldCount() const;

private:
  struct Entry
  {
    AnnouncedReplica replica;
    /** Set while the entry is missing: when to give the replica up, empty until that is known. */
    std::optional<core::TimePoint> heldUntil;
    bool isMissing = false;
  };

  ChangeFunction mOnChange;
  RemoveFunction mOnRemove;
  std::map<std::string, Entry> mReplicas;
  bool mIsStoreUnreachable = false;
  std::optional<core::TimePoint> mStoreReachableSince;

  void Remove(std::map<std::string, Entry>::iterator aEntry);
};

} // namespace skylarkwing::upstream
