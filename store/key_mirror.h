#pragma once

#include "store/key_value_store.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::store {

/**
 * A copy of the keys with one prefix and of their latest changes, from which other daemons can
 * follow them.
 */
class KeyMirror
{
public:
  /** Changes that are remembered; a reader that is further behind reads everything again. */
  static constexpr std::size_t kHistorySize = 2000;

  KeyMirror();

  /** Takes in all keys at a revision. */
  void Reset(const std::vector<KeyItem>& aItems, std::uint64_t aRevision);

  /** Takes in changes up to a revision, and wakes the readers when there are any. */
  void Apply(const std::vector<KeyItem>& aChanges, std::uint64_t aRevision);

  /** Takes in whether the copy comes from the store itself and is as new as a watch makes it. */
  void SetFresh(bool aIsFresh);

  /** @return whether other daemons may rely on the copy. */
  bool IsFresh() const { return mIsFresh; }

  std::uint64_t Revision() const { return mRevision; }

  /** @return all keys as they stand. */
  std::vector<KeyItem> Items() const;

  /** @return what changed after a revision, nothing when that isn't remembered any more. */
  std::optional<std::vector<KeyItem>> ChangesSince(std::uint64_t aRevision) const;

  /** Calls back once, at the next change or when the copy is no longer fresh. */
  void OnNextChange(std::function<void()> aCallback);

private:
  std::map<std::string, KeyItem> mItems;
  boost::circular_buffer<KeyItem> mHistory;
  /** Changes after this revision are remembered. */
  std::uint64_t mHistoryFrom = 0;
  std::uint64_t mRevision = 0;
  bool mIsFresh = false;
  std::vector<std::function<void()>> mReaders;

  void WakeReaders();
};

} // namespace skylarkwing::store
