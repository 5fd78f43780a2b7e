#include "membership/feed_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace skylarkwing::membership {

FeedChoice::FeedChoice(std::string aVm, std::string aFailureDomain)
  : mVm(std::move(aVm))
  , mFailureDomain(std::move(aFailureDomain))
{
}

FeedTarget
FeedChoice::Choose(const EntryRoll& aRoll,
                   const std::string& aFeed,
                   core::TimePoint aNow,
                   core::Duration aAloneDelay)
{
  std::vector<const EntryMember*> domain;
  for (const auto& [vm, member] : aRoll.Members()) {
    if (member.failureDomain == mFailureDomain) {
      domain.push_back(&member);
    }
  }
  if (domain.empty()) {
    return { std::nullopt, aAloneDelay };
  }
  // Members are in the order of their names, so that all daemons of a domain find the same relays.
  const std::size_t relays = std::min(domain.size(), 1 + domain.size() / kDaemonsPerRelay);
  domain.resize(std::min(domain.size(), relays + kStandbys));
  const auto isSelf = [this](const EntryMember* aMember) { return aMember->vm == mVm; };
  if (std::any_of(domain.begin(), domain.begin() + static_cast<std::ptrdiff_t>(relays), isSelf)) {
    return {};
  }
  const std::size_t first = std::hash<std::string>()(mVm) % relays;
  for (std::size_t n = 0; n < relays; ++n) {
    const EntryMember& relay = *domain[(first + n) % relays];
    if (TrustedAt(relay) <= aNow) {
      return { relay };
    }
  }
  for (std::size_t n = relays; n < domain.size(); ++n) {
    if (isSelf(domain[n])) {
      return {};
    }
    if (TrustedAt(*domain[n]) <= aNow) {
      return { *domain[n] };
    }
  }
  return WithoutRelay(domain, aFeed, aNow);
}

FeedTarget
FeedChoice::WithoutRelay(const std::vector<const EntryMember*>& aRelays,
                         const std::string& aFeed,
                         core::TimePoint aNow)
{
  const auto [it, isFirst] = mDirectAt.try_emplace(aFeed, aNow);
  // A feed that doesn't wait, since it knows nothing yet, must not put its later calls off.
  const core::TimePoint directAt = isFirst ? aNow : std::min(it->second, aNow) + kDirectInterval;
  const auto isSooner = [this](const EntryMember* aLeft, const EntryMember* aRight) {
    return TrustedAt(*aLeft) < TrustedAt(*aRight);
  };
  const auto next = std::min_element(aRelays.begin(), aRelays.end(), isSooner);
  if (TrustedAt(**next) < directAt) {
    return { **next, TrustedAt(**next) - aNow };
  }
  it->second = std::max(aNow, directAt);
  return { std::nullopt, it->second - aNow };
}

core::TimePoint
FeedChoice::TrustedAt(const EntryMember& aMember) const
{
  const auto it = mDistrustedUntil.find(aMember.vm);
  return it == mDistrustedUntil.end() ? core::TimePoint::min() : it->second;
}

void
FeedChoice::Distrust(const std::string& aVm, core::TimePoint aNow, core::Duration aSpan)
{
  mDistrustedUntil[aVm] = aNow + aSpan;
}

} // namespace skylarkwing::membership
