#include "membership/feed_router.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace skylarkwing::membership {

FeedRouter::FeedRouter(std::string aVm, std::string aFailureDomain)
  : mVm(std::move(aVm))
  , mFailureDomain(std::move(aFailureDomain))
{
}

FeedRoute
FeedRouter::Route(const EntryDirectory& aDirectory,
                  const std::string& aFeed,
                  core::TimePoint aNow,
                  core::Duration aAloneDelay)
{
  std::vector<const EntryMember*> domain;
  for (const auto& [vm, member] : aDirectory.Members()) {
    if (member.failureDomain == mFailureDomain) {
      domain.push_back(&member);
    }
  }
  if (domain.empty()) {
    return { std::nullopt, aAloneDelay };
  }
  // Members are ordered by name, so all daemons of a failure domain determine the same relays.
  const std::size_t relays = std::min(domain.size(), 1 + domain.size() / kDaemonsPerRelay);
  domain.resize(std::min(domain.size(), relays + kStandbyRelays));
  const auto isSelf = [this](const EntryMember* aMember) { return aMember->vm == mVm; };
  if (std::any_of(domain.begin(), domain.begin() + static_cast<std::ptrdiff_t>(relays), isSelf)) {
    return {};
  }
  const std::size_t first = std::hash<std::string>()(mVm) % relays;
  for (std::size_t n = 0; n < relays; ++n) {
    const EntryMember& relay = *domain[(first + n) % relays];
    if (UsableAt(relay) <= aNow) {
      return { relay };
    }
  }
  for (std::size_t n = relays; n < domain.size(); ++n) {
    if (isSelf(domain[n])) {
      return {};
    }
    if (UsableAt(*domain[n]) <= aNow) {
      return { *domain[n] };
    }
  }
  return RouteWithoutRelay(domain, aFeed, aNow);
}

FeedRoute
FeedRouter::RouteWithoutRelay(const std::vector<const EntryMember*>& aRelays,
                              const std::string& aFeed,
                              core::TimePoint aNow)
{
  const auto [it, isFirst] = mLastDirectRead.try_emplace(aFeed, aNow);
  // A feed that ignored the delay, because it has no data yet, must not delay its later calls.
  const core::TimePoint directAt =
    isFirst ? aNow : std::min(it->second, aNow) + kDirectReadInterval;
  const auto isSooner = [this](const EntryMember* aLeft, const EntryMember* aRight) {
    return UsableAt(*aLeft) < UsableAt(*aRight);
  };
  const auto next = std::min_element(aRelays.begin(), aRelays.end(), isSooner);
  if (UsableAt(**next) < directAt) {
    return { **next, UsableAt(**next) - aNow };
  }
  it->second = std::max(aNow, directAt);
  return { std::nullopt, it->second - aNow };
}

core::TimePoint
FeedRouter::UsableAt(const EntryMember& aMember) const
{
  const auto it = mAvoidedUntil.find(aMember.vm);
  return it == mAvoidedUntil.end() ? core::TimePoint::min() : it->second;
}

void
FeedRouter::AvoidRelay(const std::string& aVm, core::TimePoint aNow, core::Duration aDuration)
{
  mAvoidedUntil[aVm] = aNow + aDuration;
}

} // namespace skylarkwing::membership
