#include "store/lost_keys.h"

#include <algorithm>
#include <unordered_set>

namespace skylarkwing::store {

LostKeys::LostKeys(core::Duration aHoldTime)
  : mHoldTime(aHoldTime)
{
}

void
LostKeys::Hold(const std::vector<KeyItem>& aKnown,
               const std::vector<KeyItem>& aRestored,
               core::TimePoint aNow)
{
  std::unordered_set<std::string> restored;
  for (const KeyItem& item : aRestored) {
    restored.insert(item.key);
  }
  for (const KeyItem& item : aKnown) {
    if (restored.count(item.key) == 0) {
      mKeys[item.key] = { item, aNow + mHoldTime };
    }
  }
}

std::vector<KeyItem>
LostKeys::Items() const
{
  std::vector<KeyItem> items;
  items.reserve(mKeys.size());
  for (const auto& [key, held] : mKeys) {
    items.push_back(held.item);
  }
  return items;
}

std::vector<KeyItem>
LostKeys::TakeExpired(core::TimePoint aNow)
{
  std::vector<KeyItem> deletions;
  for (auto it = mKeys.begin(); it != mKeys.end();) {
    if (it->second.until > aNow) {
      ++it;
      continue;
    }
    deletions.push_back({ it->first, "", it->second.item.revision, true });
    it = mKeys.erase(it);
  }
  return deletions;
}

std::optional<core::TimePoint>
LostKeys::NextExpiry() const
{
  if (mKeys.empty()) {
    return std::nullopt;
  }
  const auto isSooner = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.until < aRight.second.until;
  };
  return std::min_element(mKeys.begin(), mKeys.end(), isSooner)->second.until;
}

} // namespace skylarkwing::store
