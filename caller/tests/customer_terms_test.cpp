#include "caller/customer_terms.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace skylarkwing::caller {

namespace {

using Regions = std::vector<std::string>;

declaration::Route
MakeRoute(Regions aRegions)
{
  declaration::Route route;
  route.priority = 2;
  route.regions = std::move(aRegions);
  return route;
}

declaration::Customer
MakeCustomer(Regions aRegions)
{
  declaration::Customer customer;
  customer.name = "farm";
  customer.regions = std::move(aRegions);
  return customer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(customer_terms)

BOOST_AUTO_TEST_CASE(a_request_without_a_customer_has_the_terms_of_its_route)
{
  const auto terms = MakeRequestTerms(MakeRoute({ "north" }), nullptr);
  BOOST_TEST(terms->customer.empty());
  BOOST_TEST(terms->priority == 2U);
  BOOST_TEST((terms->regions == Regions{ "north" }));
}

BOOST_AUTO_TEST_CASE(the_priority_of_the_customer_goes_before_that_of_the_route)
{
  declaration::Customer customer = MakeCustomer({});
  BOOST_TEST(MakeRequestTerms(MakeRoute({}), &customer)->priority == 2U);
  customer.priority = 0;
  BOOST_TEST(MakeRequestTerms(MakeRoute({}), &customer)->priority == 0U);
}

// An empty intersection must not be taken for "all regions".
BOOST_AUTO_TEST_CASE(the_regions_of_route_and_customer_both_apply)
{
  const declaration::Customer south = MakeCustomer({ "south" });
  const declaration::Customer both = MakeCustomer({ "south", "north" });
  BOOST_TEST((MakeRequestTerms(MakeRoute({}), &south)->regions == Regions{ "south" }));
  BOOST_TEST((MakeRequestTerms(MakeRoute({ "north" }), &both)->regions == Regions{ "north" }));
  BOOST_TEST(!MakeRequestTerms(MakeRoute({ "north" }), &south).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller
