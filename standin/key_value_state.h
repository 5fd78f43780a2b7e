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

/** One key as the store keeps it. */
struct StoredValue
{
  std::string key;
  std::string value;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/** One change, as watches see it. */
struct StoredEvent
{
  bool isDelete = false;
  StoredValue value;
};

/** A key, or the keys from it up to below an end. */
struct KeyRange
{
  std::string key;
  /** Empty for one key; one zero byte for all keys from the first on. */
  std::string end;

  /** @return whether a key lies in the range. */
  bool Contains(const std::string& aKey) const;
};

/** The revisions, keys, leases and history of a small etcd; it knows nothing of HTTP. */
class KeyValueState
{
public:
  explicit KeyValueState(core::TimerService& aTimers);
  KeyValueState(const KeyValueState&) = delete;
  KeyValueState& operator=(const KeyValueState&) = delete;
  ~KeyValueState();

  /** @return the revision of the latest change. */
  std::int64_t Revision() const { return mRevision; }

  /** @return the latest revision whose events are no longer kept. */
  std::int64_t CompactRevision() const { return mCompactRevision; }

  /** @return the keys of a range, in order. */
  std::vector<StoredValue> Range(const KeyRange& aRange) const;

  /** @return one key, or a value of revision 0 when it is absent. */
  StoredValue Get(const std::string& aKey) const;

  /** Begins a set of changes that share one revision. */
  void BeginChanges();

  /** Ends it and tells the watches, when anything changed. */
  void EndChanges();

  /** @return false when the lease is unknown; then nothing is written. */
  bool Put(const std::string& aKey, const std::string& aValue, std::int64_t aLease);

  /** @return how many keys were deleted. */
  std::int64_t Delete(const KeyRange& aRange);

  /** @return the new lease. */
  std::int64_t Grant(std::int64_t aId, std::chrono::seconds aTimeToLive);

  /** @return the time to live, or nothing when the lease is unknown. */
  std::optional<std::chrono::seconds> KeepAlive(std::int64_t aId);

  /** Ends a lease and deletes its keys. @return false when it is unknown. */
  bool Revoke(std::int64_t aId);

  /** @return what is left of a lease, or nothing when it is unknown. */
  std::optional<std::chrono::seconds> TimeLeft(std::int64_t aId) const;

  /** Forgets the events up to a revision. */
  void Compact(std::int64_t aRevision);

  /** @return the kept events from a revision on that lie in a range. */
  std::vector<StoredEvent> EventsFrom(std::int64_t aRevision, const KeyRange& aRange) const;

  /** Sets what is called after every change. */
  void OnChange(std::function<void()> aCallback);

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
  std::function<void()> mOnChange;
  bool mIsChanged = false;

  void AddEvent(StoredEvent aEvent);
  void Detach(const StoredValue& aValue);
  void ScheduleExpiry(std::int64_t aId);
};

} // namespace skylarkwing::standin
