#include "membership/entry_points.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace skylarkwing::membership::tests {

namespace {

std::vector<Member>
MembersOf(std::size_t aCount)
{
  std::vector<Member> members(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    members[n].vm = "vm-" + std::to_string(n);
    members[n].incarnation = "i" + std::to_string(n);
    members[n].failureDomain = "domain-" + std::to_string(n % 2);
    members[n].region = "region-" + std::to_string(n % 2);
    members[n].state = MemberState::Alive;
  }
  return members;
}

declaration::Declaration
DeclarationOfTwoDomains()
{
  declaration::Declaration declaration;
  declaration.failureDomains = { { "domain-0", "region-0", false, "" },
                                 { "domain-1", "region-1", false, "" } };
  return declaration;
}

std::map<std::string, int>
CountFirst(const std::vector<Member>& aMembers,
           const declaration::Declaration& aDeclaration,
           const std::string& aDomain)
{
  core::RandomSource random(7);
  std::map<std::string, int> first;
  for (int n = 0; n < 4000; ++n) {
    ++first[SelectEntryPoints(aMembers, aDeclaration, aDomain, random).entryPoints.at(0).vm];
  }
  return first;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_points)

BOOST_AUTO_TEST_CASE(callers_are_spread_evenly_over_their_own_region)
{
  const auto first = CountFirst(MembersOf(8), DeclarationOfTwoDomains(), "domain-1");
  BOOST_TEST(first.size() == 4U);
  for (const auto& [vm, n] : first) {
    BOOST_TEST(n > 900);
    BOOST_TEST(n < 1100);
  }
}

BOOST_AUTO_TEST_CASE(a_busy_member_gets_fewer_callers)
{
  auto members = MembersOf(8);
  members[0].load = 0.5;
  const auto first = CountFirst(members, DeclarationOfTwoDomains(), "domain-0");
  BOOST_TEST(first.at("vm-0") < 700);
}

BOOST_AUTO_TEST_CASE(members_that_accept_no_work_are_left_out)
{
  auto members = MembersOf(8);
  members[0].state = MemberState::Leaving;
  members[2].state = MemberState::Suspect;
  members[4].load = 0.95;
  auto declaration = DeclarationOfTwoDomains();
  declaration.failureDomains[1].out = true;
  core::RandomSource random(7);
  const auto selection = SelectEntryPoints(members, declaration, "domain-0", random);
  BOOST_REQUIRE(selection.entryPoints.size() == 1U);
  BOOST_TEST(selection.entryPoints[0].vm == "vm-6");
  BOOST_TEST(selection.entryPoints[0].identityPrefix == "vm-6.i6.0");
  BOOST_TEST(selection.maxAge.count() > 0);
}

BOOST_AUTO_TEST_CASE(overloaded_members_are_included_when_there_are_no_others)
{
  auto members = MembersOf(2);
  members[0].load = 0.95;
  members[1].load = 1.0;
  core::RandomSource random(7);
  const auto selection = SelectEntryPoints(members, DeclarationOfTwoDomains(), "", random);
  BOOST_TEST(selection.entryPoints.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
