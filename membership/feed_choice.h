#pragma once

#include "core/timer_service.h"
#include "membership/entry_roll.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace skylarkwing::membership {

/**
 * Decides from whom this daemon hears what stands in the store: from the store itself, or from
 * another daemon of its failure domain that follows the store.
 *
 * Answers the load that watches put on the store: with a few relays in each failure domain its
 * calls grow with the failure domains and not with the daemons. Also answers the load of followers
 * whose relay is cut off: the next daemons by name stand by, and without one of them the store is
 * asked.
 */
class FeedChoice
{
public:
  /** One relay serves so many daemons: a watch a second each is a small part of its work. */
  static constexpr std::size_t kDaemonsPerRelay = 50;

  /** Daemons that stand by for the relays of a failure domain. */
  static constexpr std::size_t kStandbys = 2;

  /** How long a relay that can't be reached is passed over. */
  static constexpr core::Duration kDistrust = std::chrono::seconds{ 5 };

  /** How long one that refused is: it may be about to ask the store itself, which takes a moment.
   */
  static constexpr core::Duration kRefusedDistrust = std::chrono::seconds{ 1 };

  FeedChoice(std::string aVm, std::string aFailureDomain);

  /** @return the daemon to ask, nothing for the store itself. */
  std::optional<EntryMember> Choose(const EntryRoll& aRoll, core::TimePoint aNow);

  /** Takes in that a relay failed, for how long it is passed over. */
  void Distrust(const std::string& aVm, core::TimePoint aNow, core::Duration aSpan);

private:
  std::string mVm;
  std::string mFailureDomain;
  std::map<std::string, core::TimePoint> mDistrustedUntil;

  bool IsTrusted(const EntryMember& aMember, core::TimePoint aNow) const;
};

} // namespace skylarkwing::membership
