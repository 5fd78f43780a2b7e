#pragma once

#include "core/random_source.h"
#include "store/backoff.h"
#include "store/key_value_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::store {

/** What a feed tells its subscriber. */
struct FeedHooks
{
  /** All keys, after a start or a lost history: others no longer exist. */
  std::function<void(const std::vector<KeyItem>&)> onAll;
  /** One key that was written or deleted. */
  std::function<void(const KeyItem&)> onChange;
  /** A call failed; the state may be old from now on. */
  std::function<void(StoreStatus)> onLost;
  /** A call succeeded after failures, or for the first time. */
  std::function<void()> onAnswered;
};

/** How a feed watches. */
struct FeedSettings
{
  std::string prefix;
  /** Pause between two watches; keys that change all the time cost one call a pause. */
  core::Duration pause{};
  /** How long one watch waits; below the store's most of 30 s. */
  core::Duration wait = std::chrono::seconds{ 25 };
  /** A daemon that knows nothing yet serves nobody, so that it asks again soon. */
  core::Duration leastBackoff = std::chrono::milliseconds{ 150 };
  core::Duration mostBackoff = std::chrono::milliseconds{ 450 };
};

/**
 * Follows the keys with one prefix: reads them once, then watches, and reads them again when the
 * store has dropped the history in between.
 */
class KeyFeed : public std::enable_shared_from_this<KeyFeed>
{
public:
  KeyFeed(KeyValueStore& aStore,
          core::TimerService& aTimers,
          core::RandomSource& aRandom,
          FeedSettings aSettings,
          FeedHooks aHooks);

  /** Follows the keys until Stop(). */
  core::Task<void> Run();

  /** Ends Run() after its present call. */
  void Stop() { mIsStopped = true; }

private:
  KeyValueStore& mStore;
  core::TimerService& mTimers;
  FeedSettings mSettings;
  FeedHooks mHooks;
  Backoff mBackoff;
  std::uint64_t mRevision = 0;
  bool mHasRead = false;
  bool mIsAnswering = false;
  bool mIsStopped = false;

  core::Task<StoreStatus> ReadOnce();
  core::Task<StoreStatus> WatchOnce();
  void NoteAnswer();
};

} // namespace skylarkwing::store
