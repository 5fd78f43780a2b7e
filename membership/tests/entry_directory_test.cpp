#include "membership/entry_directory.h"

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

EntryDirectory
MakeDirectory()
{
  EntryDirectory directory;
  directory.Put(Member("g1", "gent", "vlaanderen", "10.1.0.1:80"));
  directory.Put(Member("g2", "gent", "vlaanderen", "10.1.0.2:80"));
  directory.Put(Member("a1", "antwerpen", "vlaanderen", "10.2.0.1:80"));
  directory.Put(Member("n1", "namur", "wallonie", "10.3.0.1:80"));
  return directory;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_directory)

BOOST_AUTO_TEST_CASE(callers_get_the_nearest_daemons)
{
  EntryDirectory directory = MakeDirectory();
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 2U);
  directory.Remove("g1");
  directory.Remove("g2");
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).at(0) == "10.2.0.1:80");
  directory.Remove("a1");
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).at(0) == "10.3.0.1:80");
}

BOOST_AUTO_TEST_CASE(callers_get_daemons_that_are_cut_off_from_the_replicas)
{
  EntryDirectory directory = MakeDirectory();
  const auto cut = [&directory](const std::string& aVm) {
    EntryMember member = directory.Members().at(aVm);
    member.isPartitioned = true;
    directory.Put(member);
  };
  cut("g1");
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).at(0) == "10.1.0.2:80");
  BOOST_TEST(directory.Weights().at("g1") == 0.0);
  cut("g2");
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).at(0) == "10.2.0.1:80");
  cut("a1");
  cut("n1");
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 2U);
  BOOST_TEST(directory.Weights().at("g1") == 1.0);
}

BOOST_AUTO_TEST_CASE(callers_without_a_location_get_all)
{
  BOOST_TEST(MakeDirectory().AddressesFor({}, 0).size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_long_list_is_truncated_and_callers_get_different_parts)
{
  EntryDirectory directory;
  for (int n = 0; n < 100; ++n) {
    directory.Put(Member(
      "v" + std::to_string(n), "gent", "vlaanderen", "10.1.0.1:" + std::to_string(1000 + n)));
  }
  std::set<std::string> seen;
  for (std::uint64_t spread = 0; spread < 100; spread += 10) {
    const auto addresses = directory.AddressesFor({ "gent", "vlaanderen" }, spread);
    BOOST_TEST(addresses.size() == kMaxEntryAddresses);
    seen.insert(addresses.begin(), addresses.end());
  }
  BOOST_TEST(seen.size() == 100U);
}

BOOST_AUTO_TEST_CASE(callers_get_large_members_until_those_are_busy)
{
  EntryDirectory directory;
  for (int n = 0; n < 3; ++n) {
    directory.Put(Member(
      "large" + std::to_string(n), "gent", "vlaanderen", "10.1.0.1:" + std::to_string(n), 0.5));
    directory.Put(Member(
      "small" + std::to_string(n), "gent", "vlaanderen", "10.1.1.1:" + std::to_string(n), 0.12));
  }
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 3U);
  EntryMember busy = Member("large0", "gent", "vlaanderen", "10.1.0.1:0", 0.5);
  busy.isBusy = true;
  directory.Put(busy);
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 3U);
  busy.vm = "large1";
  directory.Put(busy);
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 6U);
  directory.Remove("large0");
  directory.Remove("large1");
  directory.Remove("large2");
  BOOST_TEST(directory.AddressesFor({ "gent", "vlaanderen" }, 0).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
