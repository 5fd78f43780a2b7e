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
 * A copy of the keys with one prefix and a log of their latest changes, which other daemons can
 * read and watch.
 */
class KeyMirror
{
public:
  /** Changes kept in the log; a reader that is further behind has to read all keys again. */
  static constexpr std::size_t kHistorySize = 2000;

  KeyMirror();

  /**
   * Replaces all keys by those at a position and clears the log.
   *
   * @param aIsPartial whether other keys may exist.
   */
  void Reset(const std::vector<KeyItem>& aItems, StorePosition aPosition, bool aIsPartial = false);

  /** Applies changes up to a revision; notifies the waiting readers if there are any changes. */
  void Apply(const std::vector<KeyItem>& aChanges, std::uint64_t aRevision);

  /** Sets whether the copy is kept up to date by watching the store itself. */
  void SetFresh(bool aIsFresh);

  /** @return whether other daemons may rely on the copy. */
  bool IsFresh() const { return mIsFresh; }

  StorePosition Position() const { return mPosition; }

  /** @return whether the copy may lack keys, since the read that it comes from ended early. */
  bool IsPartial() const { return mIsPartial; }

  /** @return one existing key, or null. */
  const KeyItem* Find(const std::string& aKey) const;

  /** @return all existing keys. */
  std::vector<KeyItem> Items() const;

  /** @return the changes after a position, nothing when the log doesn't reach back that far. */
  std::optional<std::vector<KeyItem>> ChangesSince(StorePosition aAfter) const;

  /** Identifies a registered callback. */
  using WaiterId = std::uint64_t;

  /** Registers a callback for the next change or the end of freshness; it is called once. */
  WaiterId OnNextChange(std::function<void()> aCallback);

  /** Removes a callback; one that was called or removed before is ignored. */
  void CancelWait(WaiterId aWaiter) { mWaiters.erase(aWaiter); }

  /** @return the number of registered callbacks. */
  std::size_t WaiterCount() const { return mWaiters.size(); }

private:
  std::map<std::string, KeyItem> mItems;
  boost::circular_buffer<KeyItem> mHistory;
  /** The log holds all changes after this revision. */
  std::uint64_t mHistoryStart = 0;
  StorePosition mPosition;
  bool mIsFresh = false;
  bool mIsPartial = false;
  std::map<WaiterId, std::function<void()>> mWaiters;
  WaiterId mLastWaiter = 0;

  void NotifyWaiters();
};

} // namespace skylarkwing::store
