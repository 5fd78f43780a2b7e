#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/** What share of the work each live daemon takes. This daemon counts as one of them. */
struct FleetWeights
{
  /** Weights of the daemons of each failure domain, added up. */
  std::map<std::string, double> domains;
  /** Names of the daemons' VMs. */
  std::vector<std::string> vms;
  /** Weight of this daemon. */
  double own = 1.0;

  /** @return the weights of all daemons, at least that of this one. */
  double Total() const;

  /** @return this daemon's share of what all bear together, above 0 and at most 1. */
  double OwnShare() const { return own / Total(); }
};

/** How many connections a daemon may use to one replica. */
struct ConnectionQuota
{
  /** Open at a time, at least one. */
  std::uint32_t maxOpen = 1;
  /** Kept when they are idle; the sum over all daemons keeps the replica's limit. */
  std::uint32_t maxIdle = 1;
};

/**
 * Splits a replica's connections among the daemons: half to those that stand near, which send it
 * most of its work, and half to the others for hedges, retries and spills.
 *
 * A daemon whose share is less than one connection still may open one for the time of a request.
 *
 * @param aLimit connections that the replica accepts from all daemons.
 * @param aNear weights of the daemons near the replica, added up.
 * @param aFar weights of the others, added up.
 * @param aOwn weight of this daemon.
 * @param aIsNear whether this daemon is one of the near ones.
 */
ConnectionQuota
SplitConnections(std::uint32_t aLimit, double aNear, double aFar, double aOwn, bool aIsNear);

/** Daemons that may send to one cold replica: each may have saved up one request. */
constexpr std::size_t kColdSenders = 3;

/** @return whether this daemon is one of those that may send to a cold replica. */
bool
MaySendCold(const std::vector<std::string>& aVms,
            const std::string& aOwnVm,
            const std::string& aReplica);

/**
 * A token bucket that keeps this daemon to its share of what a cold replica bears.
 */
class ColdRateLimiter
{
public:
  /**
   * Takes one request off the bucket.
   *
   * @param aRate requests a second that the replica bears from all daemons.
   * @param aSenders how many daemons share it.
   * @return whether it may be sent now.
   */
  bool Take(double aRate, std::size_t aSenders, core::TimePoint aNow);

private:
  double mTokens = 1.0;
  core::TimePoint mRefilledAt{};
};

} // namespace skylarkwing::upstream
