#include "membership/entry_points.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwing::membership {

namespace {

/** From this load on a member is left out. */
constexpr double kOverloaded = 0.9;
/** Keeps a busy member's weight above nothing. */
constexpr double kLeastWeight = 0.05;

struct Choice
{
  const Member* member = nullptr;
  bool isElsewhere = false;
  double draw = 0.0;
};

bool
IsOut(const declaration::Declaration& aDeclaration, const std::string& aFailureDomain)
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

/** Sorting by these draws gives a random order in which a weight of two comes first twice as often.
 */
double
WeightedDraw(double aWeight, core::RandomSource& aRandom)
{
  return -std::log(1.0 - aRandom.Fraction()) / aWeight;
}

std::vector<Choice>
Draw(const std::vector<Member>& aMembers,
     const declaration::Declaration& aDeclaration,
     const std::string& aRegion,
     double aOverloaded,
     core::RandomSource& aRandom)
{
  std::vector<Choice> choices;
  for (const auto& member : aMembers) {
    const bool isServing = member.state == MemberState::Alive && member.load < aOverloaded;
    if (!isServing || IsOut(aDeclaration, member.failureDomain)) {
      continue;
    }
    const double weight = std::max(1.0 - member.load, kLeastWeight);
    const bool isElsewhere = !aRegion.empty() && member.region != aRegion;
    choices.push_back({ &member, isElsewhere, WeightedDraw(weight, aRandom) });
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& aFirst, const Choice& aSecond) {
    return std::pair(aFirst.isElsewhere, aFirst.draw) <
           std::pair(aSecond.isElsewhere, aSecond.draw);
  });
  return choices;
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
  auto choices = Draw(aMembers, aDeclaration, region, kOverloaded, aRandom);
  if (choices.empty()) {
    constexpr double kAnyLoad = 2.0;
    choices = Draw(aMembers, aDeclaration, region, kAnyLoad, aRandom);
  }
  EntryPointSelection selection;
  selection.maxAge = kEntryPointsMaxAge;
  for (const auto& choice : choices) {
    if (selection.entryPoints.size() == kMaxEntryPoints) {
      break;
    }
    const Member& member = *choice.member;
    selection.entryPoints.push_back(
      { member.vm, member.callerAddress, member.failureDomain, IdentityPrefixOf(member) });
  }
  return selection;
}

} // namespace skylarkwing::membership
