#include "membership/entry_roll.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace skylarkwing::membership::tests {

namespace {

EntryMember
Member(const std::string& aVm,
       const std::string& aDomain,
       const std::string& aRegion,
       const std::string& aAddress,
       double aCapacity = 1.0)
{
  EntryMember member;
  member.vm = aVm;
  member.failureDomain = aDomain;
  member.region = aRegion;
  member.address = aAddress;
  member.capacity = aCapacity;
  return member;
}

EntryRoll
MakeRoll()
{
  EntryRoll roll;
  roll.Put(Member("g1", "gent", "vlaanderen", "10.1.0.1:80"));
  roll.Put(Member("g2", "gent", "vlaanderen", "10.1.0.2:80"));
  roll.Put(Member("a1", "antwerpen", "vlaanderen", "10.2.0.1:80"));
  roll.Put(Member("n1", "namur", "wallonie", "10.3.0.1:80"));
  return roll;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_roll)

BOOST_AUTO_TEST_CASE(callers_get_the_nearest_daemons)
{
  EntryRoll roll = MakeRoll();
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 2U);
  roll.Remove("g1");
  roll.Remove("g2");
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).at(0) == "10.2.0.1:80");
  roll.Remove("a1");
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).at(0) == "10.3.0.1:80");
}

BOOST_AUTO_TEST_CASE(callers_from_nowhere_get_all)
{
  BOOST_TEST(MakeRoll().AddressesFor({}, 0).size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_long_list_is_cut_and_callers_see_different_parts)
{
  EntryRoll roll;
  for (int n = 0; n < 100; ++n) {
    roll.Put(Member(
      "v" + std::to_string(n), "gent", "vlaanderen", "10.1.0.1:" + std::to_string(1000 + n)));
  }
  std::set<std::string> seen;
  for (std::uint64_t spread = 0; spread < 100; spread += 10) {
    const auto addresses = roll.AddressesFor({ "gent", "vlaanderen" }, spread);
    BOOST_TEST(addresses.size() == kMostEntryAddresses);
    seen.insert(addresses.begin(), addresses.end());
  }
  BOOST_TEST(seen.size() == 100U);
}

BOOST_AUTO_TEST_CASE(callers_get_large_members_until_those_are_busy)
{
  EntryRoll roll;
  for (int n = 0; n < 3; ++n) {
    roll.Put(Member(
      "large" + std::to_string(n), "gent", "vlaanderen", "10.1.0.1:" + std::to_string(n), 0.5));
    roll.Put(Member(
      "small" + std::to_string(n), "gent", "vlaanderen", "10.1.1.1:" + std::to_string(n), 0.12));
  }
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 3U);
  EntryMember busy = Member("large0", "gent", "vlaanderen", "10.1.0.1:0", 0.5);
  busy.isBusy = true;
  roll.Put(busy);
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 3U);
  busy.vm = "large1";
  roll.Put(busy);
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 6U);
  roll.Remove("large0");
  roll.Remove("large1");
  roll.Remove("large2");
  BOOST_TEST(roll.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
