#pragma once

#include "core/timer_service.h"
#include "store/key_value_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::store {

/**
 * The keys that were lost when the store came back from an older copy.
 *
 * Their owners write them again. Until then they stay in force, so that a failure domain that is
 * out of service gets no requests and the fleet doesn't seem to shrink. A key that isn't written
 * again within the hold time has ended.
 */
class LostKeys
{
public:
  /** @param aHoldTime how long a lost key stays in force. */
  explicit LostKeys(core::Duration aHoldTime);

  /** Holds the known keys that the restored store doesn't have. */
  void Hold(const std::vector<KeyItem>& aKnown,
            const std::vector<KeyItem>& aRestored,
            core::TimePoint aNow);

  /** Ends the hold of a key that was written or deleted since the restore. */
  void Release(const std::string& aKey) { mKeys.erase(aKey); }

  /** @return the keys that are still held. */
  std::vector<KeyItem> Items() const;

  /** Ends the hold of all keys whose time is over. @return their deletions. */
  std::vector<KeyItem> TakeExpired(core::TimePoint aNow);

  /** @return when the next hold ends, nothing when no key is held. */
  std::optional<core::TimePoint> NextExpiry() const;

private:
  struct Held
  {
    KeyItem item;
    core::TimePoint until;
  };

  core::Duration mHoldTime;
  std::map<std::string, Held> mKeys;
};

} // namespace skylarkwing::store
