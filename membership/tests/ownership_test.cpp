#include "membership/ownership.h"

#include "core/random_source.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace skylarkwing::membership::tests {

namespace {

std::vector<Member>
MembersOf(std::size_t aCount)
{
  std::vector<Member> members(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    members[n].vm = "vm-" + std::to_string(n);
    members[n].failureDomain = "domain-" + std::to_string(n % 3);
  }
  return members;
}

declaration::Declaration
DeclarationOf(std::size_t aServices)
{
  declaration::Declaration declaration;
  for (std::size_t n = 0; n < 3; ++n) {
    declaration.failureDomains.emplace_back().name = "domain-" + std::to_string(n);
  }
  auto& services = declaration.indexes.emplace_back().services;
  for (std::size_t service = 0; service < aServices; ++service) {
    auto& added = services.emplace_back();
    added.name = "s" + std::to_string(service);
    for (std::size_t n = 0; n < 3; ++n) {
      auto& replica = added.replicas.emplace_back();
      replica.name = added.name + "-" + std::to_string(n);
      replica.failureDomain = "domain-" + std::to_string(n);
    }
  }
  return declaration;
}

std::size_t
OwnersOfService(const declaration::ServiceDeclaration& aService, const OwnerMap& aOwners)
{
  std::set<std::string> owners;
  for (const auto& replica : aService.replicas) {
    owners.insert(aOwners.at(replica.name));
  }
  return owners.size();
}

std::size_t
Moves(const OwnerMap& aBefore, const OwnerMap& aAfter)
{
  return static_cast<std::size_t>(
    std::count_if(aBefore.begin(), aBefore.end(), [&](const auto& aOwner) {
      return aAfter.at(aOwner.first) != aOwner.second;
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_AUTO_TEST_CASE(replicas_are_owned_in_their_own_domain)
{
  const auto declaration = DeclarationOf(25);
  const auto members = MembersOf(8);
  const auto owners = AssignOwners(declaration, members);
  BOOST_TEST(owners.size() == 75U);
  for (const auto& service : declaration.indexes[0].services) {
    for (const auto& replica : service.replicas) {
      const auto owner = std::find_if(members.begin(), members.end(), [&](const Member& aMember) {
        return aMember.vm == owners.at(replica.name);
      });
      BOOST_TEST(owner->failureDomain == replica.failureDomain);
    }
  }
}

BOOST_AUTO_TEST_CASE(no_member_owns_a_whole_service_while_there_are_two)
{
  auto declaration = DeclarationOf(25);
  for (auto& service : declaration.indexes[0].services) {
    for (auto& replica : service.replicas) {
      replica.failureDomain = "domain-0";
    }
  }
  for (const std::size_t count : { 2U, 3U, 8U }) {
    const auto owners = AssignOwners(declaration, MembersOf(count));
    for (const auto& service : declaration.indexes[0].services) {
      BOOST_TEST(OwnersOfService(service, owners) >= 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_removed_member_moves_only_services_that_it_owned)
{
  const auto holds = rc::check("only its services move", [](std::uint64_t aSeed) {
    core::RandomSource random(aSeed);
    const auto declaration = DeclarationOf(1 + random.Below(40));
    auto members = MembersOf(3 + random.Below(20));
    const auto before = AssignOwners(declaration, members);
    const std::size_t n = random.Below(members.size());
    const std::string removed = members[n].vm;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(n));
    const auto after = AssignOwners(declaration, members);
    for (const auto& service : declaration.indexes[0].services) {
      bool isTouched = false;
      for (const auto& replica : service.replicas) {
        isTouched = isTouched || before.at(replica.name) == removed;
      }
      for (const auto& replica : service.replicas) {
        RC_ASSERT(isTouched || before.at(replica.name) == after.at(replica.name));
      }
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(a_removed_member_moves_no_replicas_of_others)
{
  const auto declaration = DeclarationOf(100);
  auto members = MembersOf(9);
  const auto before = AssignOwners(declaration, members);
  const std::string removed = members[4].vm;
  members.erase(members.begin() + 4);
  const auto after = AssignOwners(declaration, members);
  const auto owned = static_cast<std::size_t>(std::count_if(
    before.begin(), before.end(), [&](const auto& aOwner) { return aOwner.second == removed; }));
  BOOST_TEST(Moves(before, after) == owned);
}

BOOST_AUTO_TEST_CASE(the_order_of_members_and_lines_does_not_matter)
{
  auto declaration = DeclarationOf(20);
  auto members = MembersOf(8);
  const auto before = AssignOwners(declaration, members);
  std::reverse(members.begin(), members.end());
  std::reverse(declaration.indexes[0].services[3].replicas.begin(),
               declaration.indexes[0].services[3].replicas.end());
  BOOST_TEST(Moves(before, AssignOwners(declaration, members)) == 0U);
}

BOOST_AUTO_TEST_CASE(members_of_a_domain_out_of_service_own_nothing_elsewhere)
{
  auto declaration = DeclarationOf(20);
  declaration.failureDomains[1].out = true;
  const auto members = MembersOf(8);
  for (const auto& [replica, owner] : AssignOwners(declaration, members)) {
    const bool isOwnerOut = owner == "vm-1" || owner == "vm-4" || owner == "vm-7";
    const bool isReplicaOut = replica.back() == '1';
    BOOST_TEST(isOwnerOut == isReplicaOut);
  }
  BOOST_TEST(AssignOwners(declaration, {}).empty());
  // Replicas of a domain without members go to other domains that are in service.
  auto fewer = MembersOf(8);
  std::erase_if(fewer, [](const Member& aMember) { return aMember.failureDomain == "domain-2"; });
  for (const auto& [replica, owner] : AssignOwners(declaration, fewer)) {
    const bool isOwnerOut = owner == "vm-1" || owner == "vm-4" || owner == "vm-7";
    BOOST_TEST((!isOwnerOut || replica.back() == '1'));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
