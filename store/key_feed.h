#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "store/backoff.h"
#include "store/key_mirror.h"
#include "store/key_value_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::store {

/** What a feed tells its subscriber. */
struct FeedHooks
{
  /** All keys, after a start or a lost history: others no longer exist. */
  std::function<void(const std::vector<KeyItem>&)> onSnapshot;
  /** One key that was written or deleted. */
  std::function<void(const KeyItem&)> onChange;
  /** The first of one or more calls to the store failed; the state may be old from now on. */
  std::function<void(StoreStatus)> onStoreLost;
  /** A call succeeded after failures, or for the first time. */
  std::function<void()> onStoreAnswered;
};

/** What a feed's next call is for. */
enum class FeedCallPurpose
{
  /** To hear of changes soon. */
  WatchChanges,
  /** To know anything at all, from a store that may be away: the answer comes soon or not. */
  FirstRead,
  /** The same from a store that may be slow. */
  PatientFirstRead,
  /** Nothing was read yet, and the store doesn't answer. */
  StaleCopy,
};

/** Where a feed makes its next call. */
struct FeedSource
{
  std::shared_ptr<KeyValueStore> store;
  /** Whether it is the store itself and not another daemon's copy. */
  bool isDirect = true;
  /** Whether the copy may be an old one, which is read but not followed. */
  bool isStaleCopy = false;
  /** How long to wait before the call. */
  core::Duration delay{};
  /** Pause between two watches; keys that change all the time cost one call a pause. */
  core::Duration pause{};
  /** How long one watch waits: also how long a silent connection stays unnoticed. */
  core::Duration wait = std::chrono::seconds{ 2 };
  /** Called when a call to another daemon failed; the next call must go elsewhere. */
  std::function<void(StoreStatus)> onFailed;
  /** Called when an old copy was read. */
  std::function<void(const KeyListResult&)> onStaleCopyRead;
};

/** Chooses where the next call goes. */
using FeedSourceFunction = std::function<FeedSource(FeedCallPurpose)>;

/**
 * Follows the keys with one prefix: reads them once, then watches, and reads them again when the
 * store has dropped the history in between.
 *
 * While the store doesn't answer a feed that has read nothing yet, it asks for any copy between two
 * attempts. What changed after that copy comes with the first watch at the store. Its attempts may
 * end soon, since one that is lost in an outage keeps the feed from noticing its end.
 */
class KeyFeed : public std::enable_shared_from_this<KeyFeed>
{
public:
  /** A daemon that knows nothing yet serves nobody, so that it asks again soon. */
  static constexpr core::Duration kMinBackoff = std::chrono::milliseconds{ 150 };
  static constexpr core::Duration kMaxStartBackoff = std::chrono::milliseconds{ 250 };
  /** One that knows something goes on with it, and leaves a store in trouble alone for longer. */
  static constexpr core::Duration kMaxBackoff = std::chrono::milliseconds{ 1500 };

  /** @param aMostStartBackoff longest pause between attempts while nothing was read. */
  KeyFeed(FeedSourceFunction aSource,
          core::TimerService& aTimers,
          core::RandomSource& aRandom,
          std::string aPrefix,
          FeedHooks aHooks,
          core::Duration aMostStartBackoff = kMaxStartBackoff);

  /** Follows the keys until Stop(). */
  core::Task<void> Run();

  /** Ends Run() after its present call. */
  void Stop() { mIsStopped = true; }

  /** @return whether nothing was read yet, and the store has failed to answer. */
  bool IsAwaitingFirstRead() const { return mIsLost && !mHasRead; }

  /**
   * Ends the pause of a feed that is lost at its start; others go on as they are.
   *
   * @param aNeed what its next call is for: a patient read when the store answers, or any copy.
   */
  void RetryNow(FeedCallPurpose aNeed);

  /** @return the copy that other daemons may follow. */
  KeyMirror& Mirror() { return mMirror; }

  const std::string& Prefix() const { return mPrefix; }

private:
  FeedSourceFunction mSource;
  core::TimerService& mTimers;
  std::string mPrefix;
  FeedHooks mHooks;
  Backoff mStartBackoff;
  Backoff mBackoff;
  /** What RetryNow() asked for, and what of it the next call is for. */
  core::Mailbox<FeedCallPurpose> mCalls;
  std::optional<FeedCallPurpose> mCalledFor;
  /** Whether the store answers others: it isn't away, but may be slow. */
  bool mIsPatient = false;
  KeyMirror mMirror;
  std::uint64_t mRevision = 0;
  bool mHasRead = false;
  bool mIsAnswering = false;
  bool mIsLost = false;
  bool mIsStopped = false;
  bool mMayTryCopy = false;

  core::Task<void> Step();
  core::Task<StoreStatus> ReadOnce(FeedSource aSource);
  core::Task<StoreStatus> WatchOnce(FeedSource aSource);
  FeedCallPurpose NextNeed();
  void NoteAnswer(const FeedSource& aSource);
};

} // namespace skylarkwing::store
