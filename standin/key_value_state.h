#pragma once

#include "core/timer_service.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** A key and its value, with the revisions that etcd reports. */
struct StoredValue
{
  std::string key;
  std::string value;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/** One change, as delivered to watches. */
struct StoredEvent
{
  bool isDelete = false;
  StoredValue value;
};

/** A single key, or a half-open range of keys. */
struct KeyRange
{
  std::string key;
  /** Exclusive end; empty for a single key, one zero byte for a range without an end. */
  std::string end;

  /** @return whether a key lies in the range. */
  bool Contains(const std::string& aKey) const;
};

/** In-memory model of etcd: keys, revisions, leases and event history. Independent of HTTP. */
class KeyValueState
{
public:
  explicit KeyValueState(core::TimerService& aTimers);
  KeyValueState(const KeyValueState&) = delete;
  KeyValueState& operator=(const KeyValueState&) = delete;
  ~KeyValueState();

  /** @return the revision of the latest change. */
  std::int64_t Revision() const { return mRevision; }

  /** @return the latest compacted revision; its events and older ones are not available. */
  std::int64_t CompactRevision() const { return mCompactRevision; }

  /** @return the keys of a range, in order. */
  std::vector<StoredValue> Range(const KeyRange& aRange) const;

  /** @return one key, or a value of revision 0 when it is absent. */
  StoredValue Get(const std::string& aKey) const;

  /** Begins a transaction; all of its changes get the same revision. */
  void BeginTransaction();

  /** Ends the transaction. If it changed anything, advances the revision and calls the callback. */
  void EndTransaction();

  /**
   * Writes a key.
   *
   * @param aLease the lease to attach, 0 for none.
   * @return false if the lease is unknown; nothing is written then.
   */
  bool Put(const std::string& aKey, const std::string& aValue, std::int64_t aLease);

  /** Deletes a range. @return the number of deleted keys. */
  std::int64_t Delete(const KeyRange& aRange);

  /** Creates a lease. @param aId its id, 0 to assign one. @return the id. */
  std::int64_t Grant(std::int64_t aId, std::chrono::seconds aTimeToLive);

  /** Renews a lease. @return its time to live, or nothing if it is unknown. */
  std::optional<std::chrono::seconds> KeepAlive(std::int64_t aId);

  /** Revokes a lease and deletes its keys. @return false if it is unknown. */
  bool Revoke(std::int64_t aId);

  /** @return the remaining time of a lease, or nothing if it is unknown. */
  std::optional<std::chrono::seconds> TimeLeft(std::int64_t aId) const;

  /** Discards the events up to and including a revision. */
  void Compact(std::int64_t aRevision);

  /** @return the available events of a range, starting at a revision. */
  std::vector<StoredEvent> EventsFrom(std::int64_t aRevision, const KeyRange& aRange) const;

  /** Sets the callback that runs after every new revision. */
  void SetChangeCallback(std::function<void()> aCallback);

private:
  struct Lease
  {
    std::chrono::seconds timeToLive{};
    core::TimePoint expiresAt;
    core::TimerId timer = 0;
    std::set<std::string> keys;
  };

  core::TimerService& mTimers;
  std::int64_t mRevision = 1;
  std::int64_t mCompactRevision = 0;
  std::int64_t mLastLease = 7000;
  std::map<std::string, StoredValue> mValues;
  std::map<std::int64_t, Lease> mLeases;
  std::deque<StoredEvent> mEvents;
  std::function<void()> mChangeCallback;
  bool mHasChanges = false;

  void AddEvent(StoredEvent aEvent);
  void DetachFromLease(const StoredValue& aValue);
  void ScheduleExpiry(std::int64_t aId);
};

} // namespace skylarkwing::standin
