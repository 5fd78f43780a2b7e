#include "core/json_reader.h"
#include "core/nearest_name.h"
#include "core/socket_address.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace skylarkwing::core {

BOOST_AUTO_TEST_SUITE(json_reader)

BOOST_AUTO_TEST_CASE(edit_distance_counts_each_kind_of_edit_as_one)
{
  BOOST_TEST(EditDistance("", "") == 0U);
  BOOST_TEST(EditDistance("slots", "slot") == 1U);
  BOOST_TEST(EditDistance("slots", "sltos") == 1U);
  BOOST_TEST(EditDistance("slots", "plots") == 1U);
  BOOST_TEST(EditDistance("kitten", "sitting") == 3U);
}

BOOST_AUTO_TEST_CASE(nearest_name_is_empty_without_a_similar_known_name)
{
  BOOST_TEST(NearestName("adress", { "name", "address" }).value() == "address");
  BOOST_TEST(!NearestName("zzzzzz", { "name", "address" }).has_value());
  BOOST_TEST(!NearestName(std::string(10'000, 'a'), { "name" }).has_value());
}

BOOST_AUTO_TEST_CASE(socket_address_requires_an_ip_address_and_a_port)
{
  BOOST_TEST(IsSocketAddress("10.0.0.1:80"));
  BOOST_TEST(IsSocketAddress("[::1]:65535"));
  BOOST_TEST(!IsSocketAddress("10.0.0.1"));
  BOOST_TEST(!IsSocketAddress("10.0.0.1:0"));
  BOOST_TEST(!IsSocketAddress("10.0.0.1:65536"));
  BOOST_TEST(!IsSocketAddress("::1:80"));
  BOOST_TEST(!IsSocketAddress("[10.0.0.1]:80"));
  BOOST_TEST(!IsSocketAddress("store.example:80"));
}

BOOST_AUTO_TEST_CASE(fault_paths_are_escaped_json_pointers)
{
  std::vector<JsonFault> faults;
  const nlohmann::json document{ { "a/b~c", 1 } };
  JsonReader reader(document, "/top", faults);
  reader.RejectUnknownKeys();
  BOOST_REQUIRE(faults.size() == 1);
  BOOST_TEST(ToText(faults[0]) == "/top/a~1b~0c: expected a known key, found \"a/b~c\"");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::core
