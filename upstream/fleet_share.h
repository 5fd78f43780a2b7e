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

/**
 * @return how many connections this daemon may hold to one replica, at least one.
 *
 * Daemons in the replica's failure domain send it most of its work, so they share two thirds of
 * the limit; the others share the rest for retries, hedges and spills.
 *
 * @param aLimit connections that the replica accepts from all daemons.
 */
std::uint32_t
ConnectionShare(std::uint32_t aLimit,
                const FleetSize& aFleet,
                const std::string& aOwnDomain,
                const std::string& aReplicaDomain);

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
