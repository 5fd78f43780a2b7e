#pragma once

#include "core/timer_service.h"
#include "upstream/fleet_weights.h"

#include <map>
#include <optional>
#include <string>

namespace skylarkwing::upstream {

/**
 * The daemons that are listed now or were a short time ago.
 *
 * The list can shrink though the daemons run: their entries expire in an outage of the store, or a
 * daemon has just started and hasn't read all of them. Each daemon would then raise its share of
 * the limits that all keep together, and the sum would exceed them. Does no I/O.
 */
class RecentFleet
{
public:
  /**
   * Time for which a daemon counts after it was last listed: until entries that have expired are
   * written again, and read by all.
   */
  static constexpr core::Duration kHoldTime = std::chrono::seconds{ 6 };

  /** Sets the listed daemons. */
  void Update(FleetWeights aFleet, core::TimePoint aNow);

  /** Drops daemons that haven't been listed for too long. @return whether there were any. */
  bool Expire(core::TimePoint aNow);

  /** @return the listed daemons and those that count though they aren't listed. */
  FleetWeights Fleet() const;

private:
  struct Entry
  {
    FleetMember member;
    /** When it was last listed; nothing while it is. */
    std::optional<core::TimePoint> missingSince;
  };

  std::map<std::string, Entry> mEntries;
  double mOwn = 1.0;
};

} // namespace skylarkwing::upstream
