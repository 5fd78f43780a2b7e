#include "membership/entry_roll.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace skylarkwing::membership {

void
EntryRoll::Put(EntryMember aMember)
{
  std::string vm = aMember.vm;
  mMembers.insert_or_assign(std::move(vm), std::move(aMember));
}

void
EntryRoll::Remove(const std::string& aVm)
{
  mMembers.erase(aVm);
}

void
EntryRoll::Replace(std::vector<EntryMember> aMembers)
{
  mMembers.clear();
  for (EntryMember& member : aMembers) {
    Put(std::move(member));
  }
}

std::map<std::string, std::size_t>
EntryRoll::CountByDomain() const
{
  std::map<std::string, std::size_t> counts;
  for (const auto& [vm, member] : mMembers) {
    ++counts[member.failureDomain];
  }
  return counts;
}

std::vector<std::string>
EntryRoll::AddressesFor(const CallerPlace& aCaller, std::uint64_t aSpread) const
{
  std::vector<std::string> near;
  std::vector<std::string> inRegion;
  std::vector<std::string> all;
  for (const auto& [vm, member] : mMembers) {
    all.push_back(member.address);
    if (member.region == aCaller.region) {
      inRegion.push_back(member.address);
    }
    if (member.failureDomain == aCaller.failureDomain) {
      near.push_back(member.address);
    }
  }
  std::vector<std::string> chosen = std::move(!near.empty()       ? near
                                              : !inRegion.empty() ? inRegion
                                                                  : all);
  if (chosen.size() > kMostEntryAddresses) {
    const auto shift = static_cast<std::ptrdiff_t>(aSpread % chosen.size());
    std::rotate(chosen.begin(), chosen.begin() + shift, chosen.end());
    chosen.resize(kMostEntryAddresses);
  }
  return chosen;
}

} // namespace skylarkwing::membership
