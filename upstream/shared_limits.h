#pragma once

#include "core/timer_service.h"
#include "upstream/rate_shares.h"
#include "upstream/recent_fleet.h"
#include "upstream/replica_rate_limit.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/**
 * This daemon's part of the limits that all daemons keep together without messages, by the list of
 * daemons: the slack of the retry budgets, the senders to cold replicas, and the rate limits that
 * replicas name. Does no I/O.
 */
class SharedLimits
{
public:
  /**
   * @param aVm this daemon.
   * @param aRegions the region of each failure domain.
   */
  SharedLimits(std::string aVm, std::map<std::string, std::string> aRegions);

  /** Sets the listed daemons. */
  void SetFleet(const FleetWeights& aFleet, core::TimePoint aNow);

  /** Drops daemons that vanished from the list some time ago. To be called now and then. */
  void Expire(core::TimePoint aNow);

  /** @return this daemon's share of a limit that is split by weight, 0 to 1. */
  double OwnShare() const { return mFleet.OwnShare(); }

  /** @return whether this daemon is one of those that may send to a cold replica. */
  bool MaySendCold(const std::string& aReplica) const;

  /** @return this daemon's share of the rate limit of a replica in a region. */
  RateShare ShareOf(const ReplicaRateLimit& aLimit, const std::string& aRegion);

  /** @return the VMs of the daemons that have a share of a rate limit. */
  std::vector<std::string> SendersOf(const ReplicaRateLimit& aLimit);

private:
  std::string mVm;
  std::map<std::string, std::string> mRegions;
  RecentFleet mRecentFleet;
  /** The listed daemons, and those that have vanished a short time ago. */
  FleetWeights mFleet;
  /** Whether the list has been read; until then this daemon has no share of a replica's limits. */
  bool mIsComplete = true;
  /** Made when it is needed, since most fleets see no rate limits. */
  std::optional<RateShares> mRateShares;

  const RateShares& Shares();
};

} // namespace skylarkwing::upstream
