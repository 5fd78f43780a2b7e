#pragma once

#include "console/burn_report.h"
#include "console/burn_tracker.h"
#include "core/timer_service.h"
#include "declaration/configuration_keeper.h"
#include "net/peer_bus.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::daemon {

/** Callbacks of BurnExchange into the daemon. */
struct BurnExchangeHooks
{
  /** @return the VMs of the other daemons. */
  std::function<std::vector<std::string>()> peers;
};

/**
 * Collects the error budget counts of all daemons on demand, so that they cause no traffic while
 * nobody views them.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class BurnExchange
{
public:
  /** Receives a report. */
  using ReportCallback = std::function<void(const console::BurnReport&)>;

  BurnExchange(core::TimerService& aTimers,
               net::PeerBus& aBus,
               std::string aSelf,
               console::BurnTracker& aTracker,
               const declaration::ConfigurationKeeper& aKeeper,
               BurnExchangeHooks aHooks);
  BurnExchange(const BurnExchange&) = delete;
  BurnExchange& operator=(const BurnExchange&) = delete;
  ~BurnExchange();

  /** Requests the counts of all daemons; the callback is called once, after a bounded time. */
  void Collect(console::BurnDetail aDetail, ReportCallback aCallback);

  /**
   * Returns cached burn rates for the screens, a few seconds old, and starts a refresh if they are
   * outdated.
   */
  const std::vector<console::ProfileStatus>& Recent();

private:
  /** One request to all daemons. */
  struct Round
  {
    console::BurnMerger merger;
    std::set<std::string> waitingFor;
    ReportCallback callback;
    core::TimerId timer = 0;
  };

  void OnRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void OnAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void Finish(std::uint64_t aRound);

  core::TimerService& mTimers;
  net::PeerBus& mBus;
  std::string mSelf;
  console::BurnTracker& mTracker;
  const declaration::ConfigurationKeeper& mKeeper;
  BurnExchangeHooks mHooks;
  std::uint64_t mLastRound = 0;
  std::map<std::uint64_t, Round> mRounds;
  std::vector<console::ProfileStatus> mRecent;
  core::TimePoint mRecentAt{};
  bool mIsRefreshing = false;
};

} // namespace skylarkwing::daemon
