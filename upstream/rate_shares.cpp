#include "upstream/rate_shares.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace skylarkwing::upstream {

namespace {

using DomainMembers = std::map<std::string, std::vector<FleetMember>>;

/** Groups daemons by failure domain, those with the greatest weight first. */
DomainMembers
GroupByDomain(const std::vector<FleetMember>& aMembers)
{
  DomainMembers domains;
  for (const FleetMember& member : aMembers) {
    domains[member.failureDomain].push_back(member);
  }
  const std::hash<std::string> hash;
  for (auto& [domain, members] : domains) {
    std::sort(members.begin(), members.end(), [&hash](const auto& aLeft, const auto& aRight) {
      return std::make_tuple(-aLeft.weight, hash(aLeft.vm), aLeft.vm) <
             std::make_tuple(-aRight.weight, hash(aRight.vm), aRight.vm);
    });
  }
  return domains;
}

/** @return the daemons in the order in which they get shares: one of each domain, and so on. */
std::vector<const FleetMember*>
Rank(const DomainMembers& aDomains)
{
  std::vector<const FleetMember*> ranking;
  std::size_t largest = 0;
  for (const auto& [domain, members] : aDomains) {
    largest = std::max(largest, members.size());
  }
  for (std::size_t n = 0; n < largest; ++n) {
    for (const auto& [domain, members] : aDomains) {
      if (n < members.size()) {
        ranking.push_back(&members[n]);
      }
    }
  }
  return ranking;
}

} // namespace

RateShares::RateShares(const std::vector<FleetMember>& aMembers,
                       const std::string& aOwnVm,
                       const std::map<std::string, std::string>& aRegions)
{
  const DomainMembers domains = GroupByDomain(aMembers);
  const std::vector<const FleetMember*> ranking = Rank(domains);
  for (const FleetMember* member : ranking) {
    mRanking.push_back(member->vm);
  }
  const auto own = std::find_if(ranking.begin(), ranking.end(), [&aOwnVm](const auto* aMember) {
    return aMember->vm == aOwnVm;
  });
  if (own == ranking.end()) {
    return;
  }
  for (const auto& [domain, members] : domains) {
    if (domain == (*own)->failureDomain) {
      mOwnDomain = mDomainRegions.size();
    }
    const auto region = aRegions.find(domain);
    mDomainRegions.push_back(region == aRegions.end() ? domain : region->second);
  }
  double domainWeight = 0.0;
  mSharesInDomain.reserve(ranking.size());
  for (auto it = ranking.begin(); it != ranking.end(); ++it) {
    if ((*it)->failureDomain == (*own)->failureDomain) {
      domainWeight += (*it)->weight;
    }
    mSharesInDomain.push_back(it < own || domainWeight <= 0.0 ? 0.0
                                                              : (*own)->weight / domainWeight);
  }
}

RateShare
RateShares::ShareOf(std::size_t aSenders, const std::string& aRegion) const
{
  if (mSharesInDomain.empty() || aSenders == 0) {
    return {};
  }
  const std::size_t senders = std::min(aSenders, mSharesInDomain.size());
  const std::size_t domains = std::min(senders, mDomainRegions.size());
  const auto end = mDomainRegions.begin() + static_cast<std::ptrdiff_t>(domains);
  const auto near = static_cast<std::size_t>(std::count(mDomainRegions.begin(), end, aRegion));
  const std::size_t far = domains - near;
  double domainShare = 1.0 / static_cast<double>(domains);
  if (near > 0 && far > 0) {
    domainShare = mDomainRegions[mOwnDomain] == aRegion
                    ? kNearShare / static_cast<double>(near)
                    : (1.0 - kNearShare) / static_cast<double>(far);
  }
  return { domainShare * mSharesInDomain[senders - 1], senders };
}

} // namespace skylarkwing::upstream
