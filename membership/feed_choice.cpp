#include "membership/feed_choice.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace skylarkwing::membership {

FeedChoice::FeedChoice(std::string aVm, std::string aFailureDomain)
  : mVm(std::move(aVm))
  , mFailureDomain(std::move(aFailureDomain))
{
}

std::optional<EntryMember>
FeedChoice::Choose(const EntryRoll& aRoll, core::TimePoint aNow)
{
  std::vector<const EntryMember*> domain;
  for (const auto& [vm, member] : aRoll.Members()) {
    if (member.failureDomain == mFailureDomain) {
      domain.push_back(&member);
    }
  }
  // Members are in the order of their names, so that all daemons of a domain find the same relays.
  domain.resize(std::min(domain.size(), 1 + domain.size() / kDaemonsPerRelay));
  const std::size_t first = std::hash<std::string>()(mVm);
  for (std::size_t n = 0; n < domain.size(); ++n) {
    if (domain[n]->vm == mVm) {
      return std::nullopt;
    }
  }
  for (std::size_t n = 0; n < domain.size(); ++n) {
    const EntryMember& relay = *domain[(first + n) % domain.size()];
    const auto distrusted = mDistrustedUntil.find(relay.vm);
    if (distrusted == mDistrustedUntil.end() || distrusted->second <= aNow) {
      return relay;
    }
  }
  return std::nullopt;
}

void
FeedChoice::Distrust(const std::string& aVm, core::TimePoint aNow)
{
  mDistrustedUntil[aVm] = aNow + kDistrust;
}

} // namespace skylarkwing::membership
