#include "standin/key_value_state.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::standin {

namespace {

constexpr std::size_t kMaxEvents = 4096;

} // namespace

bool
KeyRange::Contains(const std::string& aKey) const
{
  if (end.empty()) {
    return aKey == key;
  }
  const bool isOpenEnded = end.size() == 1 && end.front() == '\0';
  return aKey >= key && (isOpenEnded || aKey < end);
}

KeyValueState::KeyValueState(core::TimerService& aTimers)
  : mTimers(aTimers)
{
}

KeyValueState::~KeyValueState()
{
  for (const auto& [id, lease] : mLeases) {
    mTimers.Cancel(lease.timer);
  }
}

std::vector<StoredValue>
KeyValueState::Range(const KeyRange& aRange) const
{
  std::vector<StoredValue> values;
  for (auto it = mValues.lower_bound(aRange.key); it != mValues.end(); ++it) {
    if (!aRange.Contains(it->first)) {
      break;
    }
    values.push_back(it->second);
  }
  return values;
}

StoredValue
KeyValueState::Get(const std::string& aKey) const
{
  const auto it = mValues.find(aKey);
  return it == mValues.end() ? StoredValue{} : it->second;
}

void
KeyValueState::BeginTransaction()
{
  mHasChanges = false;
}

void
KeyValueState::EndTransaction()
{
  if (!mHasChanges) {
    return;
  }
  ++mRevision;
  mHasChanges = false;
  if (mChangeCallback) {
    mChangeCallback();
  }
}

bool
KeyValueState::Put(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
{
  if (aLease != 0 && !mLeases.contains(aLease)) {
    return false;
  }
  StoredValue& stored = mValues[aKey];
  DetachFromLease(stored);
  const std::int64_t revision = mRevision + 1;
  stored.key = aKey;
  stored.value = aValue;
  stored.createRevision = stored.version == 0 ? revision : stored.createRevision;
  stored.modRevision = revision;
  ++stored.version;
  stored.lease = aLease;
  if (aLease != 0) {
    mLeases[aLease].keys.insert(aKey);
  }
  AddEvent({ false, stored });
  return true;
}

std::int64_t
KeyValueState::Delete(const KeyRange& aRange)
{
  const std::vector<StoredValue> values = Range(aRange);
  for (const StoredValue& value : values) {
    DetachFromLease(value);
    mValues.erase(value.key);
    StoredValue tombstone;
    tombstone.key = value.key;
    tombstone.modRevision = mRevision + 1;
    AddEvent({ true, std::move(tombstone) });
  }
  return static_cast<std::int64_t>(values.size());
}

std::int64_t
KeyValueState::Grant(std::int64_t aId, std::chrono::seconds aTimeToLive)
{
  const std::int64_t id = aId == 0 ? ++mLastLease : aId;
  Lease& lease = mLeases[id];
  lease.timeToLive = aTimeToLive;
  ScheduleExpiry(id);
  return id;
}

std::optional<std::chrono::seconds>
KeyValueState::KeepAlive(std::int64_t aId)
{
  const auto it = mLeases.find(aId);
  if (it == mLeases.end()) {
    return std::nullopt;
  }
  ScheduleExpiry(aId);
  return it->second.timeToLive;
}

bool
KeyValueState::Revoke(std::int64_t aId)
{
  const auto it = mLeases.find(aId);
  if (it == mLeases.end()) {
    return false;
  }
  mTimers.Cancel(it->second.timer);
  const std::set<std::string> keys = std::move(it->second.keys);
  mLeases.erase(it);
  BeginTransaction();
  for (const std::string& key : keys) {
    Delete({ key, {} });
  }
  EndTransaction();
  return true;
}

std::optional<std::chrono::seconds>
KeyValueState::TimeLeft(std::int64_t aId) const
{
  const auto it = mLeases.find(aId);
  if (it == mLeases.end()) {
    return std::nullopt;
  }
  const core::Duration left = it->second.expiresAt - mTimers.Now();
  return std::chrono::duration_cast<std::chrono::seconds>(left);
}

void
KeyValueState::Compact(std::int64_t aRevision)
{
  mCompactRevision = std::max(mCompactRevision, std::min(aRevision, mRevision));
  while (!mEvents.empty() && mEvents.front().value.modRevision <= mCompactRevision) {
    mEvents.pop_front();
  }
}

std::vector<StoredEvent>
KeyValueState::EventsFrom(std::int64_t aRevision, const KeyRange& aRange) const
{
  std::vector<StoredEvent> events;
  for (const StoredEvent& event : mEvents) {
    if (event.value.modRevision >= aRevision && aRange.Contains(event.value.key)) {
      events.push_back(event);
    }
  }
  return events;
}

void
KeyValueState::SetChangeCallback(std::function<void()> aCallback)
{
  mChangeCallback = std::move(aCallback);
}

void
KeyValueState::AddEvent(StoredEvent aEvent)
{
  mHasChanges = true;
  mEvents.push_back(std::move(aEvent));
  while (mEvents.size() > kMaxEvents) {
    mCompactRevision = mEvents.front().value.modRevision;
    mEvents.pop_front();
  }
}

void
KeyValueState::DetachFromLease(const StoredValue& aValue)
{
  const auto it = mLeases.find(aValue.lease);
  if (it != mLeases.end()) {
    it->second.keys.erase(aValue.key);
  }
}

void
KeyValueState::ScheduleExpiry(std::int64_t aId)
{
  Lease& lease = mLeases[aId];
  mTimers.Cancel(lease.timer);
  lease.expiresAt = mTimers.Now() + lease.timeToLive;
  lease.timer = mTimers.Schedule(lease.timeToLive, [this, aId] {
    mLeases[aId].timer = 0;
    Revoke(aId);
  });
}

} // namespace skylarkwing::standin
