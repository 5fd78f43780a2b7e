#include "upstream/recent_fleet.h"

#include <utility>

namespace skylarkwing::upstream {

void
RecentFleet::Update(FleetWeights aFleet, core::TimePoint aNow)
{
  mOwn = aFleet.own;
  for (auto& [vm, entry] : mEntries) {
    entry.missingSince = entry.missingSince.value_or(aNow);
  }
  for (FleetMember& member : aFleet.members) {
    std::string vm = member.vm;
    mEntries.insert_or_assign(std::move(vm), Entry{ std::move(member), std::nullopt });
  }
  Expire(aNow);
}

bool
RecentFleet::Expire(core::TimePoint aNow)
{
  return std::erase_if(mEntries, [aNow](const auto& aEntry) {
           const auto& since = aEntry.second.missingSince;
           return since && aNow - *since >= kHoldTime;
         }) > 0;
}

FleetWeights
RecentFleet::Fleet() const
{
  FleetWeights fleet;
  fleet.own = mOwn;
  for (const auto& [vm, entry] : mEntries) {
    fleet.Add(entry.member);
  }
  return fleet;
}

} // namespace skylarkwing::upstream
