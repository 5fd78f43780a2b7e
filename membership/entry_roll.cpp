#include "membership/entry_roll.h"

#include <algorithm>
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

std::map<std::string, double>
EntryRoll::Weights() const
{
  std::map<std::string, std::vector<const EntryMember*>> domains;
  std::map<std::string, double> weights;
  for (const auto& [vm, member] : mMembers) {
    domains[member.failureDomain].push_back(&member);
    weights[vm] = member.capacity * kIdleWeight;
  }
  for (const auto& [domain, members] : domains) {
    for (const EntryMember* member : Ablest(members)) {
      weights[member->vm] = member->capacity;
    }
  }
  return weights;
}

std::vector<const EntryMember*>
EntryRoll::Ablest(const std::vector<const EntryMember*>& aMembers)
{
  double greatest = 0.0;
  for (const EntryMember* member : aMembers) {
    greatest = std::max(greatest, member->capacity);
  }
  std::vector<const EntryMember*> large;
  std::size_t busy = 0;
  for (const EntryMember* member : aMembers) {
    if (member->capacity >= greatest * kEqualCapacity) {
      large.push_back(member);
      busy += member->isBusy ? 1 : 0;
    }
  }
  const double mostBusy = kMostBusyShare * static_cast<double>(large.size());
  return static_cast<double>(busy) > mostBusy ? aMembers : large;
}

std::vector<std::string>
EntryRoll::AddressesFor(const CallerPlace& aCaller, std::uint64_t aSpread) const
{
  std::vector<const EntryMember*> near;
  std::vector<const EntryMember*> inRegion;
  std::vector<const EntryMember*> all;
  for (const auto& [vm, member] : mMembers) {
    all.push_back(&member);
    if (member.region == aCaller.region) {
      inRegion.push_back(&member);
    }
    if (member.failureDomain == aCaller.failureDomain) {
      near.push_back(&member);
    }
  }
  const auto& nearest = !near.empty() ? near : !inRegion.empty() ? inRegion : all;
  std::vector<std::string> chosen;
  for (const EntryMember* member : Ablest(nearest)) {
    chosen.push_back(member->address);
  }
  if (chosen.size() > kMostEntryAddresses) {
    const auto shift = static_cast<std::ptrdiff_t>(aSpread % chosen.size());
    std::rotate(chosen.begin(), chosen.begin() + shift, chosen.end());
    chosen.resize(kMostEntryAddresses);
  }
  return chosen;
}

} // namespace skylarkwing::membership
