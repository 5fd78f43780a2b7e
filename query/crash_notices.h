#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "query/crash_guard.h"
#include "store/key_value_store.h"
#include "upstream/token_bucket.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::query {

/** Encoding of evidence as keys of the store. */
struct CrashNoticeCodec
{
  std::function<std::string(const upstream::CrashEvidence&)> makeKey;
  std::function<std::string(const upstream::CrashEvidence&)> encode;
};

/** The callbacks of the notices. */
struct CrashNoticeHooks
{
  /** @return whether a crash counts against a fingerprint that is quarantined here now. */
  std::function<bool(const upstream::CrashEvidence&)> isInForce;
  /** @return this daemon's share of what the fleet may write. */
  std::function<double()> ownShare;
  /** Called with the result of each write. */
  std::function<void(const std::string& aKey, store::StoreStatus)> onWritten;
};

/**
 * Spreads the evidence of requests that end replicas through the platform's store: a key for each
 * episode, under a lease, so that daemons that start later learn of it as well.
 *
 * Writes nothing while no replica ends. Not thread-safe: one instance belongs to one event loop.
 */
class CrashNotices : public std::enable_shared_from_this<CrashNotices>
{
public:
  /** Lifetime of a key, the longest lease of the platform. */
  static constexpr core::Duration kLifetime = std::chrono::minutes{ 10 };

  /** Writes of the whole fleet per second, and what one daemon may write at once. */
  static constexpr double kFleetWritesPerSecond = 20.0;
  static constexpr double kBurst = 4.0;

  /** Notices that wait to be written; further ones are dropped. */
  static constexpr std::size_t kMaxPending = 64;

  CrashNotices(boost::asio::any_io_executor aExecutor,
               core::TimerService& aTimers,
               core::RandomSource& aRandom,
               std::shared_ptr<store::KeyValueStore> aStore,
               CrashNoticeCodec aCodec,
               CrashNoticeHooks aHooks);

  /** Writes evidence of this daemon as soon as the store accepts it. */
  void Publish(const upstream::CrashEvidence& aEvidence);

  /** Handles evidence that was read from the store. */
  void OnRead(const upstream::CrashEvidence& aEvidence);

  /** Handles a key that the store has no more; it is written again while its crash counts. */
  void OnLost(const std::string& aKey);

  /** Handles a complete read, in which keys that were not passed to OnRead() don't exist. */
  void OnReadAll(const std::function<bool(const std::string&)>& aExists);

  /** Writes nothing more. */
  void Stop() { mIsStopped = true; }

  /** Handles a store that came back from an older copy, in which the lease may be another's. */
  void OnStoreRestored() { mLease = 0; }

  /** @return the number of notices that wait to be written. */
  std::size_t PendingCount() const { return mPending.size(); }

private:
  struct Pending
  {
    upstream::CrashEvidence evidence;
    /** Not written before this time; by then another daemon may have written it. */
    core::TimePoint due;
    /** Not written at all after this time. */
    core::TimePoint end;
    /** Whether it is written only if the key is still missing. */
    bool isRepeat = false;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  std::shared_ptr<store::KeyValueStore> mStore;
  CrashNoticeCodec mCodec;
  CrashNoticeHooks mHooks;
  /** Evidence in the store, by key. */
  std::map<std::string, upstream::CrashEvidence> mKnown;
  std::map<std::string, Pending> mPending;
  upstream::TokenBucket mWrites;
  std::uint64_t mLease = 0;
  core::TimePoint mLeaseTakenAt{};
  bool mIsWriting = false;
  bool mIsStopped = false;

  void Add(const upstream::CrashEvidence& aEvidence, core::Duration aDelay, bool aIsRepeat);
  static core::Task<void> WriteAll(std::shared_ptr<CrashNotices> aSelf);
  std::map<std::string, Pending>::iterator FindNext();
  core::Task<store::StoreStatus> Write(std::string aKey, std::string aValue);
};

} // namespace skylarkwing::query
