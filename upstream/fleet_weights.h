#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/** A daemon among those that share limits. */
struct FleetMember
{
  /** Name of its VM. */
  std::string vm;
  std::string failureDomain;
  double weight = 1.0;
};

/** The load-balancing weights of all live daemons, this one included. */
struct FleetWeights
{
  /** Sum of the daemons' weights for each failure domain. */
  std::map<std::string, double> domains;
  std::vector<FleetMember> members;
  /** Weight of this daemon. */
  double own = 1.0;
  /** Whether the other daemons have been read; until then this daemon knows no shares. */
  bool isComplete = true;

  /** Adds a daemon to the members and to its domain. */
  void Add(FleetMember aMember);

  /**
   * Adds this daemon to its domain only, while it isn't in the list: the others split rates without
   * it.
   */
  void AddUnlisted(const FleetMember& aMember);

  /** @return the sum of all weights, at least that of this daemon. */
  double Total() const;

  /**
   * @return this daemon's share of the limits that all daemons keep together, above 0 and at most
   *         1.
   */
  double OwnShare() const { return own / Total(); }
};

/** Share of what a replica accepts that goes to the daemons near it, which prefer it to others. */
constexpr double kNearShare = 0.5;

/** Limits on the connections of this daemon to one replica. */
struct ConnectionQuota
{
  /** Most connections open at a time, at least one. */
  std::uint32_t maxOpen = 1;
  /**
   * Most idle connections kept open; summed over all daemons they stay within the replica's limit.
   */
  std::uint32_t maxIdle = 1;
};

/**
 * Splits a replica's connections among the daemons: half to the daemons near it, which send it most
 * of its requests, and half to the others for hedges, retries and overflow.
 *
 * A daemon whose share is below one connection may still open one for the duration of a request.
 *
 * @param aLimit connections that the replica accepts from all daemons.
 * @param aNear sum of the weights of the daemons near the replica.
 * @param aFar sum of the weights of the other daemons.
 * @param aOwn weight of this daemon.
 * @param aIsNear whether this daemon is near the replica.
 */
ConnectionQuota
SplitConnections(std::uint32_t aLimit, double aNear, double aFar, double aOwn, bool aIsNear);

/** Daemons that may send to one cold replica; each may have one token saved up. */
constexpr std::size_t kColdSenders = 3;

/** @return whether this daemon is one of those that may send to a cold replica. */
bool
MaySendCold(const std::vector<FleetMember>& aMembers,
            const std::string& aOwnVm,
            const std::string& aReplica);

} // namespace skylarkwing::upstream
