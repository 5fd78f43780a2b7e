#include "declaration/routing_table.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::declaration::tests {

namespace {

Route
MakeRoute(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing_table)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_matches_in_any_insertion_order)
{
  RoutingTable table;
  table.AddRoute(MakeRoute("all", "a.example", "/"));
  table.AddRoute(MakeRoute("deep", "a.example", "/x/y/"));
  table.AddRoute(MakeRoute("middle", "a.example", "/x/"));
  table.AddRoute(MakeRoute("other", "b.example", "/x/y/"));
  BOOST_TEST(table.Match("a.example", "/x/y/1")->name == "deep");
  BOOST_TEST(table.Match("a.example", "/x/yy")->name == "middle");
  BOOST_TEST(table.Match("a.example", "/x")->name == "all");
  BOOST_TEST(table.Match("b.example", "/x/y/")->name == "other");
  BOOST_TEST(table.Match("b.example", "/x/") == nullptr);
  BOOST_TEST(table.Match("c.example", "/x/y/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(host_matches_regardless_of_case_and_port)
{
  RoutingTable table;
  table.AddRoute(MakeRoute("r", "Shop.Example", "/x/"));
  BOOST_TEST(table.Match("sHOP.example:8226", "/x/1") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_route_with_the_same_prefix_replaces_the_first)
{
  RoutingTable table;
  table.AddRoute(MakeRoute("old", "a", "/x/"));
  table.AddRoute(MakeRoute("new", "a", "/x/"));
  BOOST_TEST(table.Match("a", "/x/")->name == "new");
  BOOST_TEST(table.RouteCount() == 1U);
}

BOOST_AUTO_TEST_CASE(least_shards_are_rounded_up_and_at_least_one)
{
  Route route;
  route.shards.assign(10, "s");
  route.leastCoverage = 0.89;
  BOOST_TEST(route.LeastShards() == 9U);
  route.leastCoverage = 0.7;
  BOOST_TEST(route.LeastShards() == 7U);
  route.leastCoverage = 0.0;
  BOOST_TEST(route.LeastShards() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::declaration::tests
