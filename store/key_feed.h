#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "store/backoff.h"
#include "store/key_mirror.h"
#include "store/key_value_store.h"
#include "store/lost_keys.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::store {

/** Callbacks to the subscriber of a feed. */
struct FeedHooks
{
  /** All keys, after the first read or lost history; keys that are not listed no longer exist. */
  std::function<void(const std::vector<KeyItem>&)> onSnapshot;
  /** One key that was written or deleted. */
  std::function<void(const KeyItem&)> onChange;
  /**
   * Whether a known key is newer than what a restored store has, and so stays in force; `aRead` is
   * null when the store doesn't have the key. Unless set, the store's answer counts.
   */
  std::function<bool(const KeyItem& aKnown, const KeyItem* aRead)> isKnownNewer;
  /** Everything was read again, because the store has come back from an older copy. */
  std::function<void(const StorePosition& aKnown, const StorePosition& aRead)> onEraChanged;
  /** A call to the store failed after successful ones; the keys may be stale from now on. */
  std::function<void(StoreStatus)> onStoreLost;
  /** A call to the store succeeded, for the first time or after failures. */
  std::function<void()> onStoreAnswered;
};

/** Purpose of a feed's next call. */
enum class FeedCallPurpose
{
  /** Wait for changes. */
  WatchChanges,
  /** First read with a short timeout, for a store that may be down. */
  FirstRead,
  /** First read with a long timeout, for a store that may be slow. */
  PatientFirstRead,
  /** Read everything again, because the changes since the last answer are not available. */
  ReadAgain,
  /** Read from another daemon, fresh or not, because nothing was read yet and the store fails. */
  StaleCopy,
};

/** Destination and timing of a feed's next call. */
struct FeedSource
{
  std::shared_ptr<KeyValueStore> store;
  /** Whether this is the store itself and not another daemon's copy. */
  bool isDirect = true;
  /** Whether the copy may be stale; it is then read once, but not watched. */
  bool isStaleCopy = false;
  /** How long to wait before the call. */
  core::Duration delay{};
  /** Pause after each successful call; it limits the calls for keys that change all the time. */
  core::Duration pause{};
  /** How long one watch waits, and so also how long a dead connection can go unnoticed. */
  core::Duration wait = std::chrono::seconds{ 2 };
  /** Called when a call to another daemon failed; the next call must go elsewhere. */
  std::function<void(StoreStatus)> onFailed;
  /** Called when a stale copy was read. */
  std::function<void(const KeyListResult&)> onStaleCopyRead;
};

/** What a feed follows, and its timing. */
struct FeedSettings
{
  std::string prefix;
  /** Longest delay between attempts until the first read succeeds. */
  core::Duration maxStartBackoff = std::chrono::milliseconds{ 250 };
  /** How long keys that a restore has lost stay in force; their owners write them again sooner. */
  core::Duration lostKeyHoldTime = std::chrono::seconds{ 5 };
};

/** Chooses the destination of the next call. */
using FeedSourceFunction = std::function<FeedSource(FeedCallPurpose)>;

/**
 * Follows the keys with one prefix: reads them once, then watches them, and reads them again when
 * the store has compacted the history that the watch needs, or has come back from an older copy.
 *
 * While a feed has read nothing yet and the store doesn't answer, every other attempt asks another
 * daemon for any copy. The first watch at the store delivers what changed after that copy. Until
 * then attempts may use short timeouts, because one that is lost in an outage delays noticing that
 * the outage is over.
 */
class KeyFeed : public std::enable_shared_from_this<KeyFeed>
{
public:
  /** Without any data the daemon can't serve, so that the first read is retried soon. */
  static constexpr core::Duration kInitialBackoff = std::chrono::milliseconds{ 150 };
  /** A daemon with data can go on serving, so that a failing store gets longer pauses. */
  static constexpr core::Duration kMaxBackoff = std::chrono::milliseconds{ 1500 };

  KeyFeed(FeedSourceFunction aSource,
          core::TimerService& aTimers,
          core::RandomSource& aRandom,
          const FeedSettings& aSettings,
          FeedHooks aHooks);

  /** Follows the keys until Stop(). */
  core::Task<void> Run();

  /** Makes Run() end after its current call. */
  void Stop() { mIsStopped = true; }

  /** @return whether nothing was read yet and the last attempt at the store failed. */
  bool IsAwaitingFirstRead() const { return mIsLost && !HasData(); }

  /**
   * Ends the retry delay of a feed that still waits for its first read; does nothing otherwise.
   *
   * @param aPurpose purpose of the next call: a first read, patient if the store is known to
   * answer, or a stale copy.
   */
  void RetryNow(FeedCallPurpose aPurpose);

  /** Puts a key in force that another daemon has and a restore of the store has lost. */
  void Adopt(KeyItem aItem);

  /** @return when the store or a relay answered last, nothing before the first answer. */
  std::optional<core::TimePoint> LastAnswerAt() const { return mAnsweredAt; }

  /** @return the copy of the keys that other daemons may follow. */
  KeyMirror& Mirror() { return mMirror; }

  const std::string& Prefix() const { return mPrefix; }

private:
  FeedSourceFunction mSource;
  core::TimerService& mTimers;
  std::string mPrefix;
  FeedHooks mHooks;
  Backoff mStartBackoff;
  Backoff mBackoff;
  /** Purposes given to RetryNow(), and the one that applies to the next call. */
  core::Mailbox<FeedCallPurpose> mRetryRequests;
  std::optional<FeedCallPurpose> mRequestedPurpose;
  /** The store is known to answer other feeds, so that first reads use the long timeout. */
  bool mIsPatient = false;
  KeyMirror mMirror;
  StorePosition mPosition;
  /** Whether the store may have older keys than this daemon, because it was restored. */
  bool mMayStoreBeOlder = false;
  LostKeys mLostKeys;
  bool mHasRead = false;
  bool mIsAnswering = false;
  std::optional<core::TimePoint> mAnsweredAt;
  bool mIsLost = false;
  bool mIsStopped = false;
  bool mMayTryStaleCopy = false;

  core::Task<void> Step();
  core::Task<StoreStatus> ReadOnce(FeedSource aSource);
  core::Task<StoreStatus> WatchOnce(FeedSource aSource);
  void ApplySnapshot(const KeyListResult& aRead);
  /** Adds the known keys that a partial read doesn't list; they may still exist. */
  void AddUnlistedKeys(std::vector<KeyItem>& aItems) const;
  std::vector<KeyItem> KeepNewerKeys(std::vector<KeyItem> aItems) const;
  bool IsKnownNewer(const KeyItem& aKnown, const KeyItem* aRead) const;
  std::vector<KeyItem> KeysInForce() const;
  void ApplyChanges(std::vector<KeyItem> aChanges, const StorePosition& aPosition);
  void ScheduleRelease();
  StoreStatus CheckEra(const StorePosition& aAnswered) const;
  bool HasData() const { return mPosition != StorePosition{}; }
  FeedCallPurpose ChoosePurpose();
  void RecordAnswer(const FeedSource& aSource);
};

} // namespace skylarkwing::store
