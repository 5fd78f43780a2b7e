#include "store/key_mirror.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

KeyMirror::KeyMirror()
  : mHistory(kHistorySize)
{
}

void
KeyMirror::Reset(const std::vector<KeyItem>& aItems, StorePosition aPosition, bool aIsPartial)
{
  mIsPartial = aIsPartial;
  mItems.clear();
  for (const KeyItem& item : aItems) {
    mItems.insert_or_assign(item.key, item);
  }
  mHistory.clear();
  mHistoryStart = aPosition.revision;
  mPosition = aPosition;
  NotifyWaiters();
}

void
KeyMirror::Apply(const std::vector<KeyItem>& aChanges, std::uint64_t aRevision)
{
  for (const KeyItem& item : aChanges) {
    if (item.isDeleted) {
      mItems.erase(item.key);
    } else {
      mItems.insert_or_assign(item.key, item);
    }
    if (mHistory.full()) {
      mHistoryStart = mHistory.front().revision;
    }
    mHistory.push_back(item);
  }
  mPosition.revision = std::max(mPosition.revision, aRevision);
  if (!aChanges.empty()) {
    NotifyWaiters();
  }
}

void
KeyMirror::SetFresh(bool aIsFresh)
{
  const bool wasFresh = std::exchange(mIsFresh, aIsFresh);
  if (wasFresh && !aIsFresh) {
    NotifyWaiters();
  }
}

const KeyItem*
KeyMirror::Find(const std::string& aKey) const
{
  const auto it = mItems.find(aKey);
  return it == mItems.end() ? nullptr : &it->second;
}

std::vector<KeyItem>
KeyMirror::Items() const
{
  std::vector<KeyItem> items;
  items.reserve(mItems.size());
  for (const auto& [key, item] : mItems) {
    items.push_back(item);
  }
  return items;
}

std::optional<std::vector<KeyItem>>
KeyMirror::ChangesSince(StorePosition aAfter) const
{
  if (aAfter.era < mPosition.era || aAfter.revision < mHistoryStart) {
    return std::nullopt;
  }
  std::vector<KeyItem> changes;
  for (const KeyItem& item : mHistory) {
    if (item.revision > aAfter.revision) {
      changes.push_back(item);
    }
  }
  return changes;
}

KeyMirror::WaiterId
KeyMirror::OnNextChange(std::function<void()> aCallback)
{
  mWaiters.emplace(++mLastWaiter, std::move(aCallback));
  return mLastWaiter;
}

void
KeyMirror::NotifyWaiters()
{
  const auto waiters = std::exchange(mWaiters, {});
  for (const auto& [id, waiter] : waiters) {
    waiter();
  }
}

} // namespace skylarkwing::store
