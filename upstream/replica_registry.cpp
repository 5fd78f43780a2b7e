#include "upstream/replica_registry.h"

#include "core/name_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<ReplicaChange, 5> kChangeNames{
  { "none", "new", "restarted", "draining", "serving" }
};

/** More replicas than leave a large deployment within the age of the store's copy. */
constexpr std::size_t kMaxRemoved = 1024;

ReplicaChange
ChangeOf(const AnnouncedReplica& aNew, const AnnouncedReplica& aKnown)
{
  if (!IsSameProcess(aNew, aKnown)) {
    return ReplicaChange::Restarted;
  }
  if (aNew.isDraining == aKnown.isDraining) {
    return ReplicaChange::None;
  }
  return aNew.isDraining ? ReplicaChange::Draining : ReplicaChange::Serving;
}

bool
IsOlder(const AnnouncedReplica& aNew, const AnnouncedReplica& aKnown)
{
  if (aNew.startedAt != aKnown.startedAt) {
    return aNew.startedAt < aKnown.startedAt;
  }
  return aNew.startedAt != 0 && aNew.sequence < aKnown.sequence;
}

} // namespace

bool
IsSameProcess(const AnnouncedReplica& aLeft, const AnnouncedReplica& aRight)
{
  return aLeft.startedAt == aRight.startedAt && aLeft.address == aRight.address;
}

bool
IsNewerProcess(const AnnouncedReplica& aNew, const AnnouncedReplica& aKnown)
{
  // Without a start time, a different address still tells another process.
  const bool hasNoStart = aNew.startedAt == 0 || aKnown.startedAt == 0;
  return hasNoStart ? aNew.address != aKnown.address : aNew.startedAt > aKnown.startedAt;
}

std::string_view
NameOf(ReplicaChange aChange)
{
  return kChangeNames.NameOf(aChange);
}

ReplicaRegistry::ReplicaRegistry(ChangeFunction aOnChange, RemoveFunction aOnRemove)
  : mOnChange(std::move(aOnChange))
  , mOnRemove(std::move(aOnRemove))
  , mRemoved(kMaxRemoved)
{
}

void
ReplicaRegistry::Announce(AnnouncedReplica aReplica)
{
  const auto it = mReplicas.find(aReplica.id);
  if (it != mReplicas.end() && IsOlder(aReplica, it->second.replica)) {
    return;
  }
  if (it == mReplicas.end() && IsUnconfirmed(aReplica)) {
    mUnconfirmed.insert_or_assign(aReplica.id, std::move(aReplica));
    return;
  }
  mUnconfirmed.erase(aReplica.id);
  const ReplicaChange change =
    it == mReplicas.end() ? ReplicaChange::New : ChangeOf(aReplica, it->second.replica);
  Entry& entry = mReplicas[aReplica.id];
  entry.replica = std::move(aReplica);
  entry.isMissing = false;
  entry.heldUntil.reset();
  mOnChange(entry.replica, change);
}

bool
ReplicaRegistry::IsUnconfirmed(const AnnouncedReplica& aReplica) const
{
  if (!mConfirmUntil) {
    return false;
  }
  const auto hasId = [&aReplica](const AnnouncedReplica& aRemoved) {
    return aRemoved.id == aReplica.id;
  };
  const auto it = std::find_if(mRemoved.rbegin(), mRemoved.rend(), hasId);
  if (it == mRemoved.rend() || IsNewerProcess(aReplica, *it)) {
    return false;
  }
  return !IsSameProcess(aReplica, *it) || aReplica.sequence <= it->sequence;
}

void
ReplicaRegistry::RejectEntry(const std::string& aId)
{
  mUnconfirmed.erase(aId);
  const auto it = mReplicas.find(aId);
  if (it != mReplicas.end()) {
    Remove(it);
  }
}

void
ReplicaRegistry::OnEntryRemoved(const std::string& aId, core::TimePoint aNow)
{
  mUnconfirmed.erase(aId);
  const auto it = mReplicas.find(aId);
  if (it == mReplicas.end()) {
    return;
  }
  const bool isHeld = mIsStoreUnreachable ||
                      (mStoreReachableSince && aNow < *mStoreReachableSince + kHoldAfterOutage);
  if (!isHeld || it->second.replica.isDraining) {
    Remove(it);
    return;
  }
  it->second.isMissing = true;
  if (!mIsStoreUnreachable) {
    it->second.heldUntil = *mStoreReachableSince + kHoldAfterOutage;
  }
}

void
ReplicaRegistry::Reconcile(const std::function<bool(const std::string&)>& aExists,
                           core::TimePoint aNow)
{
  std::vector<std::string> vanished;
  for (const auto& [id, entry] : mReplicas) {
    if (!entry.isMissing && !aExists(id)) {
      vanished.push_back(id);
    }
  }
  for (const auto& [id, replica] : mUnconfirmed) {
    if (!aExists(id)) {
      vanished.push_back(id);
    }
  }
  for (const std::string& id : vanished) {
    OnEntryRemoved(id, aNow);
  }
}

void
ReplicaRegistry::OnStoreUnreachable()
{
  mIsStoreUnreachable = true;
}

void
ReplicaRegistry::OnStoreReachable(core::TimePoint aNow)
{
  if (!mIsStoreUnreachable) {
    return;
  }
  mIsStoreUnreachable = false;
  mStoreReachableSince = aNow;
  for (auto& [id, entry] : mReplicas) {
    if (entry.isMissing) {
      entry.heldUntil = aNow + kHoldAfterOutage;
    }
  }
}

void
ReplicaRegistry::OnStoreRestored(core::TimePoint aNow)
{
  mConfirmUntil = aNow + kConfirmTime;
  // Entries that the copy lacks are held, also when the outage before the restore went unnoticed.
  mStoreReachableSince = aNow;
}

void
ReplicaRegistry::Expire(core::TimePoint aNow)
{
  if (mConfirmUntil && *mConfirmUntil <= aNow) {
    mConfirmUntil.reset();
    for (auto& [id, replica] : std::exchange(mUnconfirmed, {})) {
      Announce(std::move(replica));
    }
  }
  auto it = mReplicas.begin();
  while (it != mReplicas.end()) {
    const auto entry = it++;
    if (entry->second.heldUntil && *entry->second.heldUntil <= aNow) {
      Remove(entry);
    }
  }
}

std::size_t
ReplicaRegistry::HeldCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mReplicas.begin(), mReplicas.end(), [](const auto& aEntry) {
      return aEntry.second.isMissing;
    }));
}

void
ReplicaRegistry::Remove(std::map<std::string, Entry>::iterator aEntry)
{
  const std::string id = aEntry->first;
  mRemoved.push_back(std::move(aEntry->second.replica));
  mReplicas.erase(aEntry);
  mOnRemove(id);
}

} // namespace skylarkwing::upstream
