#pragma once

#include "core/timer_service.h"
#include "membership/entry_directory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** Where the next call of a feed goes, and when. */
struct FeedRoute
{
  /** The daemon to ask, nothing for the store itself. */
  std::optional<EntryMember> relay;
  /** How long to wait first. */
  core::Duration delay{};
};

/**
 * Decides from whom this daemon hears what stands in the store: from the store itself, or from
 * another daemon of its failure domain that follows the store.
 *
 * Answers the load that watches put on the store: with a few relays in each failure domain its
 * calls grow with the failure domains and not with the daemons. Also answers the load of followers
 * whose relay is cut off: the next daemons by name stand by, and without one of them the store is
 * asked. And the load on a store in an outage, which all relays have lost: their followers wait for
 * them and ask the store itself only now and then. And the load of a start of all daemons, when
 * none is listed yet: they wait a moment for the first relays instead of all following the store.
 */
class FeedRouter
{
public:
  /** One relay serves so many daemons: a watch a second each is a small part of its work. */
  static constexpr std::size_t kDaemonsPerRelay = 50;

  /** Daemons that stand by for the relays of a failure domain. */
  static constexpr std::size_t kStandbyRelays = 2;

  /** How long a relay that can't be reached is passed over. */
  static constexpr core::Duration kFailedRelayBackoff = std::chrono::seconds{ 5 };

  /** How long one that refused is: it may be about to ask the store itself, which takes a moment.
   */
  static constexpr core::Duration kRefusedRelayBackoff = std::chrono::seconds{ 1 };

  /**
   * How often a follower without a relay asks the store: what the operator changes must be in force
   * within 3 s.
   */
  static constexpr core::Duration kDirectReadInterval = std::chrono::seconds{ 2 };

  /**
   * How long a daemon that knows of none in its failure domain waits before it follows the store:
   * daemons that start together are listed within half a second, and the feed that tells of them
   * goes first.
   */
  static constexpr core::Duration kInitialMembersDelay = std::chrono::milliseconds{ 600 };
  static constexpr core::Duration kInitialRelayDelay = std::chrono::milliseconds{ 900 };

  FeedRouter(std::string aVm, std::string aFailureDomain);

  /**
   * @param aFeed names the feed; each asks the store at its own times.
   * @param aAloneDelay how long the feed waits while no daemon of the failure domain is known.
   */
  FeedRoute Route(const EntryDirectory& aDirectory,
                  const std::string& aFeed,
                  core::TimePoint aNow,
                  core::Duration aAloneDelay = {});

  /** Takes in that a relay failed, for how long it is passed over. */
  void AvoidRelay(const std::string& aVm, core::TimePoint aNow, core::Duration aSpan);

private:
  std::string mVm;
  std::string mFailureDomain;
  std::map<std::string, core::TimePoint> mAvoidedUntil;
  /** When each feed last asked the store for want of a relay. */
  std::map<std::string, core::TimePoint> mLastDirectRead;

  core::TimePoint UsableAt(const EntryMember& aMember) const;
  FeedRoute RouteWithoutRelay(const std::vector<const EntryMember*>& aRelays,
                              const std::string& aFeed,
                              core::TimePoint aNow);
};

} // namespace skylarkwing::membership
