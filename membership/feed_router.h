#pragma once

#include "core/timer_service.h"
#include "membership/entry_directory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** The source of a feed's next call, and the delay before it. */
struct FeedRoute
{
  /** The daemon to call, or nothing for the store itself. */
  std::optional<EntryMember> relay;
  /** Time to wait before the call. */
  core::Duration delay{};
};

/**
 * Decides whether this daemon's feeds follow the store itself, or a relay: another daemon of its
 * failure domain that follows the store.
 *
 * Limits the load on the store:
 * - With a few relays in each failure domain, its calls grow with the number of failure domains and
 *   not of daemons.
 * - When a relay is cut off, the next daemons by name stand in for it; the store is called only
 *   when none of them is usable.
 * - When all relays have lost the store in an outage, followers wait for the relays and call the
 *   store only at kDirectReadInterval.
 * - When all daemons start together and none is listed yet, they wait a moment for the first relays
 *   instead of all following the store.
 */
class FeedRouter
{
public:
  /** One watch a second for each of these daemons is a small part of a relay's work. */
  static constexpr std::size_t kDaemonsPerRelay = 50;

  /** Number of daemons that stand in for the relays of a failure domain. */
  static constexpr std::size_t kStandbyRelays = 2;

  /** How long an unreachable relay is avoided. */
  static constexpr core::Duration kFailedRelayBackoff = std::chrono::seconds{ 5 };

  /** How long a relay that refused is avoided: it may be about to call the store itself. */
  static constexpr core::Duration kRefusedRelayBackoff = std::chrono::seconds{ 1 };

  /**
   * Interval of a follower's calls to the store while it has no relay: an operator's change must
   * take effect within 3 s.
   */
  static constexpr core::Duration kDirectReadInterval = std::chrono::seconds{ 2 };

  /**
   * How long a daemon that knows no daemon of its failure domain waits before it follows the store:
   * daemons that start together are listed within half a second. The members feed waits for less,
   * since it finds the relays for the others.
   */
  static constexpr core::Duration kInitialMembersDelay = std::chrono::milliseconds{ 600 };
  static constexpr core::Duration kInitialRelayDelay = std::chrono::milliseconds{ 900 };

  FeedRouter(std::string aVm, std::string aFailureDomain);

  /**
   * @param aFeed name of the feed; the interval of calls to the store is kept for each feed.
   * @param aAloneDelay how long the feed waits while no daemon of the failure domain is known.
   * @return the source of the feed's next call.
   */
  FeedRoute Route(const EntryDirectory& aDirectory,
                  const std::string& aFeed,
                  core::TimePoint aNow,
                  core::Duration aAloneDelay = {});

  /** Avoids a relay that failed or refused for aDuration. */
  void AvoidRelay(const std::string& aVm, core::TimePoint aNow, core::Duration aDuration);

private:
  std::string mVm;
  std::string mFailureDomain;
  std::map<std::string, core::TimePoint> mAvoidedUntil;
  /** When each feed last called the store because no relay was usable. */
  std::map<std::string, core::TimePoint> mLastDirectRead;

  core::TimePoint UsableAt(const EntryMember& aMember) const;
  FeedRoute RouteWithoutRelay(const std::vector<const EntryMember*>& aRelays,
                              const std::string& aFeed,
                              core::TimePoint aNow);
};

} // namespace skylarkwing::membership
