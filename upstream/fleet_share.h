#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace skylarkwing::upstream {

/** How many daemons are live, by failure domain. This daemon counts as one of them. */
struct FleetSize
{
  std::map<std::string, std::size_t> daemons;

  /** @return live daemons in all failure domains, at least one. */
  std::size_t Total() const;

  /** @return live daemons of one failure domain. */
  std::size_t In(const std::string& aFailureDomain) const;
};

/** How many connections a daemon may use to one replica. */
struct ConnectionQuota
{
  /** Open at a time, at least one. */
  std::uint32_t most = 1;
  /** Kept when they are idle; the sum over all daemons keeps the replica's limit. */
  std::uint32_t kept = 1;
};

/**
 * Splits a replica's connections among the daemons: half to those that stand near, which send it
 * most of its work, and half to the others for hedges, retries and spills.
 *
 * A daemon whose share is less than one connection still may open one for the time of a request.
 *
 * @param aLimit connections that the replica accepts from all daemons.
 * @param aNear how many daemons stand near the replica.
 * @param aTotal how many daemons there are.
 * @param aIsNear whether this daemon is one of the near ones.
 */
ConnectionQuota
SplitConnections(std::uint32_t aLimit, std::size_t aNear, std::size_t aTotal, bool aIsNear);

/**
 * A token bucket that keeps this daemon to its share of what a cold replica bears.
 */
class ColdRate
{
public:
  /**
   * Takes one request off the bucket.
   *
   * @param aRate requests a second that the replica bears from all daemons.
   * @param aDaemons how many daemons share it.
   * @return whether it may be sent now.
   */
  bool Take(double aRate, std::size_t aDaemons, core::TimePoint aNow);

private:
  double mTokens = 1.0;
  core::TimePoint mRefilledAt{};
};

} // namespace skylarkwing::upstream
