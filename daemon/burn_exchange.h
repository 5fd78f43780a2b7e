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

/** What a burn exchange needs from its daemon. */
struct BurnExchangeHooks
{
  /** @return the VMs whose daemons should be asked. */
  std::function<std::vector<std::string>()> peers;
};

/**
 * Collects the burn counts of all daemons when somebody wants to see them, so that they cost
 * nothing while nobody looks.
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

  /** Asks every daemon for its counts; the callback comes once, after a bounded time. */
  void Collect(console::BurnDetail aDetail, ReportCallback aCallback);

  /**
   * @return burn rates for screens, as of a few seconds ago; looking at them has them collected
   *         again, so that they are up to date while somebody looks.
   */
  const std::vector<console::ProfileStatus>& Recent();

private:
  /** One question to all daemons. */
  struct Round
  {
    console::BurnMerger merger;
    std::set<std::string> waitingFor;
    ReportCallback callback;
    core::TimerId timer = 0;
  };

  void HearRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HearAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void End(std::uint64_t aRound);

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
