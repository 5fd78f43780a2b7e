#include "membership/entry_points.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwing::membership {

namespace {

/** Members with at least this load are left out. */
constexpr double kOverloadThreshold = 0.9;
/** Keeps the weight of a fully loaded member above zero. */
constexpr double kMinWeight = 0.05;

struct Candidate
{
  const Member* member = nullptr;
  bool isOtherRegion = false;
  double sortKey = 0.0;
};

bool
IsOutOfService(const declaration::Declaration& aDeclaration, const std::string& aFailureDomain)
{
  const auto& domains = aDeclaration.failureDomains;
  return std::any_of(domains.begin(), domains.end(), [&](const auto& aDomain) {
    return aDomain.name == aFailureDomain && aDomain.out;
  });
}

std::string
RegionOf(const declaration::Declaration& aDeclaration, const std::string& aFailureDomain)
{
  for (const auto& domain : aDeclaration.failureDomains) {
    if (domain.name == aFailureDomain) {
      return domain.region;
    }
  }
  return {};
}

/**
 * Draws a sort key for a weighted random order: a member with twice the weight comes first twice as
 * often.
 */
double
DrawSortKey(double aWeight, core::RandomSource& aRandom)
{
  return -std::log(1.0 - aRandom.Fraction()) / aWeight;
}

std::vector<Candidate>
RankCandidates(const std::vector<Member>& aMembers,
               const declaration::Declaration& aDeclaration,
               const std::string& aRegion,
               double aLoadLimit,
               core::RandomSource& aRandom)
{
  std::vector<Candidate> candidates;
  for (const auto& member : aMembers) {
    const bool isEligible = member.state == MemberState::Alive && member.load < aLoadLimit;
    if (!isEligible || IsOutOfService(aDeclaration, member.failureDomain)) {
      continue;
    }
    const double weight = std::max(1.0 - member.load, kMinWeight);
    const bool isOtherRegion = !aRegion.empty() && member.region != aRegion;
    candidates.push_back({ &member, isOtherRegion, DrawSortKey(weight, aRandom) });
  }
  std::sort(
    candidates.begin(), candidates.end(), [](const Candidate& aFirst, const Candidate& aSecond) {
      return std::pair(aFirst.isOtherRegion, aFirst.sortKey) <
             std::pair(aSecond.isOtherRegion, aSecond.sortKey);
    });
  return candidates;
}

} // namespace

std::string
IdentityPrefixOf(const Member& aMember)
{
  return aMember.vm + "." + aMember.incarnation + "." + std::to_string(aMember.identityEpoch);
}

EntryPointSelection
SelectEntryPoints(const std::vector<Member>& aMembers,
                  const declaration::Declaration& aDeclaration,
                  const std::string& aFailureDomain,
                  core::RandomSource& aRandom)
{
  const std::string region = RegionOf(aDeclaration, aFailureDomain);
  auto candidates = RankCandidates(aMembers, aDeclaration, region, kOverloadThreshold, aRandom);
  if (candidates.empty()) {
    constexpr double kNoLoadLimit = 2.0;
    candidates = RankCandidates(aMembers, aDeclaration, region, kNoLoadLimit, aRandom);
  }
  EntryPointSelection selection;
  selection.maxAge = kEntryPointsMaxAge;
  for (const auto& candidate : candidates) {
    if (selection.entryPoints.size() == kMaxEntryPoints) {
      break;
    }
    const Member& member = *candidate.member;
    selection.entryPoints.push_back(
      { member.vm, member.callerAddress, member.failureDomain, IdentityPrefixOf(member) });
  }
  return selection;
}

} // namespace skylarkwing::membership
