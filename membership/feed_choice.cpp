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
  const std::size_t relays = std::min(domain.size(), 1 + domain.size() / kDaemonsPerRelay);
  domain.resize(std::min(domain.size(), relays + kStandbys));
  const auto isSelf = [this](const EntryMember* aMember) { return aMember->vm == mVm; };
  if (std::any_of(domain.begin(), domain.begin() + static_cast<std::ptrdiff_t>(relays), isSelf)) {
    return std::nullopt;
  }
  const std::size_t first = relays == 0 ? 0 : std::hash<std::string>()(mVm) % relays;
  for (std::size_t n = 0; n < relays; ++n) {
    const EntryMember& relay = *domain[(first + n) % relays];
    if (IsTrusted(relay, aNow)) {
      return relay;
    }
  }
  for (std::size_t n = relays; n < domain.size() && !isSelf(domain[n]); ++n) {
    if (IsTrusted(*domain[n], aNow)) {
      return *domain[n];
    }
  }
  return std::nullopt;
}

bool
FeedChoice::IsTrusted(const EntryMember& aMember, core::TimePoint aNow) const
{
  const auto it = mDistrustedUntil.find(aMember.vm);
  return it == mDistrustedUntil.end() || it->second <= aNow;
}

void
FeedChoice::Distrust(const std::string& aVm, core::TimePoint aNow, core::Duration aSpan)
{
  mDistrustedUntil[aVm] = aNow + aSpan;
}

} // namespace skylarkwing::membership
