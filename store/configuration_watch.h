#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "declaration/configuration_keeper.h"
#include "store/backoff.h"
#include "store/configuration_store.h"
#include "store/store_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::store {

/** What the watch needs from its daemon. */
struct ConfigurationWatchHooks
{
  /**
   * Whether this daemon watches the store. Only a few in each failure domain do; the others hear of
   * changes from them.
   */
  std::function<bool()> isWatcher;
  /** Whether this daemon needs the store's word every second, because its peers can't give it. */
  std::function<bool()> isConfirmationNeeded;
  /** How many daemons there are, this one included. */
  std::function<std::size_t()> memberCount;
};

/**
 * Keeps the configuration in force up to date with the store.
 *
 * Every daemon reads the document once at its start and compares its revision now and then, more
 * rarely the more daemons there are; the watchers also hear of each change at once. A document that
 * is damaged, of another deployment or older than the one in force is refused and counted, and the
 * one in force stays.
 *
 * Not thread-safe: one instance belongs to one event loop, and it must outlive the loop's run.
 */
class ConfigurationWatch
{
public:
  ConfigurationWatch(core::TimerService& aTimers,
                     core::RandomSource& aRandom,
                     core::Metrics& aMetrics,
                     StoreClient& aClient,
                     ConfigurationStore& aStore,
                     declaration::ConfigurationKeeper& aKeeper,
                     ConfigurationWatchHooks aHooks);
  ConfigurationWatch(const ConfigurationWatch&) = delete;
  ConfigurationWatch& operator=(const ConfigurationWatch&) = delete;

  /** Starts its tasks on an event loop. */
  void Start(const boost::asio::any_io_executor& aExecutor);

  /** Lets its tasks end at their next step. */
  void Stop() { mIsStopped = true; }

  /**
   * @return when the store last confirmed that its configuration is the one in force here: the time
   *         before the question was sent. Nothing before the first time.
   */
  std::optional<core::TimePoint> LastConfirmed() const { return mLastConfirmed; }

  /** @return whether the store answers. */
  bool IsStoreReachable() const { return mClient.IsReachable(); }

  /**
   * @param aMembers how many daemons there are.
   * @param aIsWatcher whether the daemon watches the store.
   * @return the usual time between two compares of one daemon. Over all daemons that don't watch,
   *         compares are about as frequent in a large fleet as in a small one.
   */
  static core::Duration PollInterval(std::size_t aMembers, bool aIsWatcher);

private:
  /** Why a document from the store was not taken. */
  enum class Refusal
  {
    None,
    Damaged,
    OtherDeployment,
    Older,
    OtherHistory,
    Missing,
  };

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Metrics& mMetrics;
  StoreClient& mClient;
  ConfigurationStore& mStore;
  declaration::ConfigurationKeeper& mKeeper;
  ConfigurationWatchHooks mHooks;
  prometheus::Gauge& mIsRefusedGauge;
  bool mIsStopped = false;
  Refusal mRefusal = Refusal::None;
  /** Revision of the document that was taken or refused last, 0 before the first. */
  Revision mSeenRevision = 0;
  /** The store's revision up to which no change of the document was missed, 0 when unknown. */
  Revision mWatchedRevision = 0;
  std::optional<core::TimePoint> mLastConfirmed;

  core::Task<void> RunCompare();
  core::Task<void> RunWatch();
  core::Task<bool> WatchOnce();
  core::Task<bool> Compare();
  core::Task<bool> ReadWhole();
  core::Task<void> WaitToCompare(core::Duration aPause);
  void Hear(const WatchMessage& aMessage);
  void Take(const StoredConfiguration& aStored, std::uint64_t aGenerationBefore);
  Refusal Judge(const StoredConfiguration& aStored, std::uint64_t aGenerationBefore);
  void SetRefusal(Refusal aRefusal, const StoredConfiguration& aStored);
  void Confirm(core::TimePoint aAskedAt);
  static std::string_view NameOf(Refusal aRefusal);
};

} // namespace skylarkwing::store
