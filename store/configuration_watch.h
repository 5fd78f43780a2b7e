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

/** State of the daemon that the watch depends on. */
struct ConfigurationWatchHooks
{
  /**
   * Whether this daemon watches the key. Only a few in each failure domain do; the others learn of
   * changes from them.
   */
  std::function<bool()> isWatcher;
  /** Whether the store must confirm the configuration every second, since peers can't do so. */
  std::function<bool()> isConfirmationNeeded;
  /** Number of daemons, this one included. */
  std::function<std::size_t()> memberCount;
};

/**
 * Keeps the configuration in force in sync with the document in the store.
 *
 * Every daemon reads the document at its start and then polls its revision, at an interval that
 * grows with the number of daemons; the watchers are also notified of each change at once. A
 * document that is damaged, belongs to another deployment or is older than the configuration in
 * force is refused and counted; the configuration in force stays.
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

  /** Starts polling and watching on an event loop. */
  void Start(const boost::asio::any_io_executor& aExecutor);

  /** Makes both tasks end at their next step. */
  void Stop() { mIsStopped = true; }

  /**
   * @return when the store last confirmed that its document is the configuration in force here: the
   *         time before the request was sent. Nothing before the first confirmation.
   */
  std::optional<core::TimePoint> LastConfirmed() const { return mLastConfirmed; }

  /** @return whether the store answers calls. */
  bool IsStoreReachable() const { return mClient.IsReachable(); }

  /**
   * @param aMembers number of daemons.
   * @param aIsWatcher whether the daemon watches the key.
   * @return the average time between two polls of one daemon. The daemons that don't watch together
   *         poll about as often in a large fleet as in a small one.
   */
  static core::Duration PollInterval(std::size_t aMembers, bool aIsWatcher);

private:
  /** Why a document from the store was refused. */
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
  /** Revision of the last document that was applied or refused, 0 before the first. */
  Revision mLastSeenRevision = 0;
  /** Cluster to which the revisions belong. */
  ClusterId mCluster;
  /** Revision of the store up to which no change of the document was missed, 0 when unknown. */
  Revision mWatchedRevision = 0;
  std::optional<core::TimePoint> mLastConfirmed;

  core::Task<void> RunPoll();
  core::Task<void> RunWatch();
  core::Task<bool> WatchOnce();
  core::Task<bool> Poll();
  core::Task<bool> ReadDocument();
  core::Task<void> WaitForNextPoll(core::Duration aPause);
  void HandleMessage(const WatchMessage& aMessage);
  void Apply(const StoredConfiguration& aStored, std::uint64_t aKnownGeneration);
  Refusal Evaluate(const StoredConfiguration& aStored, std::uint64_t aKnownGeneration);
  void SetRefusal(Refusal aRefusal, const StoredConfiguration& aStored);
  void RecordConfirmation(core::TimePoint aRequestedAt);
  static std::string_view NameOf(Refusal aRefusal);
};

} // namespace skylarkwing::store
