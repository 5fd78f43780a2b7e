#include "store/key_mirror.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

KeyMirror::KeyMirror()
  : mHistory(kHistorySize)
{
}

void
KeyMirror::Reset(const std::vector<KeyItem>& aItems, std::uint64_t aRevision)
{
  mItems.clear();
  for (const KeyItem& item : aItems) {
    mItems.insert_or_assign(item.key, item);
  }
  mHistory.clear();
  mHistoryFrom = aRevision;
  mRevision = aRevision;
  WakeReaders();
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
      mHistoryFrom = mHistory.front().revision;
    }
    mHistory.push_back(item);
  }
  mRevision = std::max(mRevision, aRevision);
  if (!aChanges.empty()) {
    WakeReaders();
  }
}

void
KeyMirror::SetFresh(bool aIsFresh)
{
  const bool wasFresh = std::exchange(mIsFresh, aIsFresh);
  if (wasFresh && !aIsFresh) {
    WakeReaders();
  }
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
KeyMirror::ChangesSince(std::uint64_t aRevision) const
{
  if (aRevision < mHistoryFrom) {
    return std::nullopt;
  }
  std::vector<KeyItem> changes;
  for (const KeyItem& item : mHistory) {
    if (item.revision > aRevision) {
      changes.push_back(item);
    }
  }
  return changes;
}

void
KeyMirror::OnNextChange(std::function<void()> aCallback)
{
  mReaders.push_back(std::move(aCallback));
}

void
KeyMirror::WakeReaders()
{
  const auto readers = std::exchange(mReaders, {});
  for (const std::function<void()>& reader : readers) {
    reader();
  }
}

} // namespace skylarkwing::store
