#pragma once

#include "upstream/fleet_weights.h"
#include "upstream/replica_rate_limit.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/**
 * This daemon's shares of the rates that replicas accept from all daemons together.
 *
 * Half of a rate goes to the failure domains in the replica's region, whose daemons prefer it, and
 * half to the others. Callers use the daemons of their own domain, so that domains get equal parts,
 * split by weight.
 *
 * Each daemon may save up one request at least. When there are so many daemons that their saved
 * requests together would exceed the limit, only some of them get a share: the greatest of each
 * domain, and the same for all replicas, so that a query over many limited shards finds a share of
 * each. Does no I/O.
 */
class RateShares
{
public:
  /**
   * @param aMembers all daemons, in any order.
   * @param aOwnVm this daemon; without a share when it isn't among them.
   * @param aRegions the region of each failure domain.
   */
  RateShares(const std::vector<FleetMember>& aMembers,
             const std::string& aOwnVm,
             const std::map<std::string, std::string>& aRegions);
  RateShares() = default;

  /**
   * @param aSenders how many daemons get a share.
   * @param aRegion where the replica is.
   * @return this daemon's share.
   */
  RateShare ShareOf(std::size_t aSenders, const std::string& aRegion) const;

  /** @return the VMs of all daemons; when only some get a share, these are the first ones. */
  const std::vector<std::string>& Ranking() const { return mRanking; }

private:
  std::vector<std::string> mRanking;
  /** The regions of the failure domains, in the order in which their daemons get shares. */
  std::vector<std::string> mDomainRegions;
  std::size_t mOwnDomain = 0;
  /** For each number of senders, the own share of what the own domain gets. */
  std::vector<double> mSharesInDomain;
};

} // namespace skylarkwing::upstream
