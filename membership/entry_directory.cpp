#include "membership/entry_directory.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::membership {

void
EntryDirectory::Put(EntryMember aMember)
{
  std::string vm = aMember.vm;
  mMembers.insert_or_assign(std::move(vm), std::move(aMember));
}

void
EntryDirectory::Remove(const std::string& aVm)
{
  mMembers.erase(aVm);
}

void
EntryDirectory::Replace(std::vector<EntryMember> aMembers)
{
  mMembers.clear();
  for (EntryMember& member : aMembers) {
    Put(std::move(member));
  }
}

std::map<std::string, double>
EntryDirectory::Weights() const
{
  std::map<std::string, std::vector<const EntryMember*>> domains;
  std::map<std::string, double> weights;
  for (const auto& [vm, member] : mMembers) {
    weights[vm] = 0.0;
  }
  for (const EntryMember* member : WithPathToReplicas()) {
    domains[member->failureDomain].push_back(member);
    weights[member->vm] = member->capacity * kReserveWeight;
  }
  for (const auto& [domain, members] : domains) {
    for (const EntryMember* member : Preferred(members)) {
      weights[member->vm] = member->capacity;
    }
  }
  return weights;
}

std::vector<const EntryMember*>
EntryDirectory::WithPathToReplicas() const
{
  std::vector<const EntryMember*> all;
  std::vector<const EntryMember*> connected;
  for (const auto& [vm, member] : mMembers) {
    all.push_back(&member);
    if (!member.isPartitioned) {
      connected.push_back(&member);
    }
  }
  return connected.empty() ? all : connected;
}

std::vector<const EntryMember*>
EntryDirectory::Preferred(const std::vector<const EntryMember*>& aMembers)
{
  double greatest = 0.0;
  for (const EntryMember* member : aMembers) {
    greatest = std::max(greatest, member->capacity);
  }
  std::vector<const EntryMember*> large;
  std::size_t busy = 0;
  for (const EntryMember* member : aMembers) {
    if (member->capacity >= greatest * kLargeMemberRatio) {
      large.push_back(member);
      busy += member->isBusy ? 1 : 0;
    }
  }
  const double mostBusy = kMaxBusyRatio * static_cast<double>(large.size());
  return static_cast<double>(busy) > mostBusy ? aMembers : large;
}

std::vector<std::string>
EntryDirectory::AddressesFor(const CallerLocation& aCaller, std::uint64_t aSpread) const
{
  std::vector<const EntryMember*> near;
  std::vector<const EntryMember*> inRegion;
  const std::vector<const EntryMember*> all = WithPathToReplicas();
  for (const EntryMember* member : all) {
    if (member->region == aCaller.region) {
      inRegion.push_back(member);
    }
    if (member->failureDomain == aCaller.failureDomain) {
      near.push_back(member);
    }
  }
  const auto& nearest = !near.empty() ? near : !inRegion.empty() ? inRegion : all;
  std::vector<std::string> chosen;
  for (const EntryMember* member : Preferred(nearest)) {
    chosen.push_back(member->address);
  }
  if (chosen.size() > kMaxEntryAddresses) {
    const auto shift = static_cast<std::ptrdiff_t>(aSpread % chosen.size());
    std::rotate(chosen.begin(), chosen.begin() + shift, chosen.end());
    chosen.resize(kMaxEntryAddresses);
  }
  return chosen;
}

} // namespace skylarkwing::membership
