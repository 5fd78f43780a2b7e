#include "declaration/declaration_diff.h"

#include "declaration/harm_check.h"
#include "declaration/tests/declaration_fixture.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::declaration {

namespace {

Change
OnlyChange(const Declaration& aFrom, const Declaration& aTo)
{
  const std::vector<Change> changes = DescribeChanges(aFrom, aTo);
  BOOST_REQUIRE(changes.size() == 1);
  return changes.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(declaration_diff)

BOOST_AUTO_TEST_CASE(equal_declarations_have_no_changes)
{
  BOOST_TEST(DescribeChanges(SmallDeclaration(), SmallDeclaration()).empty());
}

BOOST_AUTO_TEST_CASE(taking_a_domain_out_and_back_is_described_with_its_traffic)
{
  Declaration to = SmallDeclaration();
  to.failureDomains[0].out = true;
  to.failureDomains[0].reason = "flood";
  const Change out = OnlyChange(SmallDeclaration(), to);
  BOOST_TEST(out.what == "failure domain Ikeja goes out: flood");
  BOOST_TEST(out.traffic == "new work for 2 replicas of 2 services");
  BOOST_TEST(OnlyChange(to, SmallDeclaration()).what == "failure domain Ikeja comes back");
}

BOOST_AUTO_TEST_CASE(each_change_is_described_on_one_line)
{
  const Declaration from = SmallDeclaration();
  Declaration to = from;
  to.indexes[0].limits.slots = 4;
  to.indexes[0].services[0].replicas[0].address = "10.0.0.9:7000";
  to.indexes[0].services[0].replicas.pop_back();
  to.indexes[0].services[1].name = "catalogue-2";
  to.profiles[0].retryBudget = 0.2;
  to.profiles[0].defaultDeadline = std::chrono::milliseconds{ 400 };
  to.profiles.pop_back();
  const std::vector<std::string> lines = ToLines(DescribeChanges(from, to));
  const std::string index = "index dealer-catalogue";
  const std::string shareOfService = " (touches a share of service catalogue-0 of " + index + ")";
  const std::string shards = " with 2 replicas (touches its shards of " + index + ")";
  const std::string quickQuote = "profile quick-quote";
  const std::vector<std::string> expected{
    index + ": limits of each replica change, slots from 3 to 4 (touches queries to " + index +
      ", 4 replicas of 2 services)",
    "replica catalogue-0-a moves from 10.0.0.1:7000 to 10.0.0.9:7000" + shareOfService,
    "replica catalogue-0-c is removed from Trans-Amadi" + shareOfService,
    "service catalogue-2 of " + index + " is added" + shards,
    "service catalogue-1 of " + index + " is removed" + shards,
    quickQuote + " changes, default deadline from 500 ms to 400 ms, retry budget from 0.1 to 0.2" +
      " (touches queries of " + quickQuote + ")",
    "profile order is removed, its queries are refused (touches queries of profile order)"
  };
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(taking_out_the_last_domain_of_a_service_is_a_harm)
{
  const Declaration from = SmallDeclaration();
  Declaration to = from;
  to.failureDomains[1].out = true;
  BOOST_TEST(FindHarms(from, to).empty());
  to = from;
  to.failureDomains[0].out = true;
  const std::vector<std::string> harms = FindHarms(from, to);
  BOOST_REQUIRE(harms.size() == 1);
  BOOST_TEST(harms[0] == "service catalogue-1 of index dealer-catalogue would have no replica in a "
                         "failure domain that is in");
  BOOST_TEST(FindHarms(to, to).empty());
  Declaration all = to;
  all.failureDomains[1].out = true;
  BOOST_TEST(FindHarms(to, all).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_different_deployment_is_a_harm)
{
  Declaration to = SmallDeclaration();
  to.deployment = "other";
  BOOST_TEST(FindHarms(SmallDeclaration(), to).size() == 1);
  BOOST_TEST(FindHarms(Declaration(), to).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::declaration
