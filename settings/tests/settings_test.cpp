#include "settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace skylarkwing::settings {

namespace {

using nlohmann::json;

json
ValidDocument()
{
  return json::parse(R"({
    "vm": "vm-1", "failureDomain": "Ikeja", "region": "Lagos", "clusterName": "adebayo",
    "listen": {"caller": "10.0.0.1:7100", "peer": "10.0.0.1:7200", "operator": "10.0.0.1:7300"},
    "store": {"endpoints": ["10.0.9.1:2379", "10.0.9.2:2379"]},
    "vmList": {"address": "10.0.9.3:80"},
    "operators": {"readTokenFile": "/etc/read", "changeTokenFile": "/etc/change"},
    "log": {"level": "warning", "format": "json"},
    "stopGraceSeconds": 20
  })");
}

std::string
OnlyFaultWith(const std::string& aPath, const json& aValue)
{
  json document = ValidDocument();
  document[json::json_pointer(aPath)] = aValue;
  const LoadResult result = ParseSettings(document.dump());
  BOOST_TEST(!result.settings.has_value());
  BOOST_REQUIRE(result.faults.size() == 1);
  return result.faults.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
  const LoadResult result = ParseSettings(ValidDocument().dump());
  BOOST_REQUIRE(result.settings.has_value());
  BOOST_TEST(result.settings->storeEndpoints.size() == 2);
  BOOST_TEST((result.settings->logLevel == core::LogLevel::Warning));
  BOOST_TEST((result.settings->logFormat == core::LogFormat::Json));
  BOOST_TEST(!result.settings->randomSeed.has_value());
}

BOOST_AUTO_TEST_CASE(resources_are_optional)
{
  json document = ValidDocument();
  BOOST_TEST(!ParseSettings(document.dump()).settings->resources.has_value());
  document["resources"] = { { "memoryMegabytes", 160 }, { "descriptors", 4100 } };
  const LoadResult result = ParseSettings(document.dump());
  BOOST_TEST_REQUIRE(result.settings.has_value());
  BOOST_TEST(result.settings->resources->memoryBytes == 160U * 1024 * 1024);
  BOOST_TEST(result.settings->resources->maxDescriptors == 4100U);
}

// An idle process needs 11 MB, so that one with less memory could not serve a single caller.
BOOST_AUTO_TEST_CASE(too_little_memory_is_refused)
{
  BOOST_TEST(OnlyFaultWith("/resources", { { "memoryMegabytes", 24 }, { "descriptors", 4100 } }) ==
             "/resources/memoryMegabytes: expected a whole number from 32 to 1048576, found 24");
}

BOOST_AUTO_TEST_CASE(a_fault_has_path_and_expected_and_found_values)
{
  BOOST_TEST(OnlyFaultWith("/store/endpoints/0", "store.example:2379") ==
             "/store/endpoints/0: expected an IP address and a port such as \"10.0.0.1:7300\", "
             "found \"store.example:2379\"");
  BOOST_TEST(OnlyFaultWith("/log/level", "loud") ==
             "/log/level: expected \"debug\", \"info\", \"warning\" or \"error\", found \"loud\"");
  BOOST_TEST(OnlyFaultWith("/stopGraceSecond", 3) ==
             "/stopGraceSecond: expected a known key such as \"stopGraceSeconds\", "
             "found \"stopGraceSecond\"");
  BOOST_TEST(OnlyFaultWith("/listen/operator", "10.0.0.1:7100") ==
             "/listen/operator: expected an address of its own, "
             "found \"10.0.0.1:7100\" as at /listen/caller");
}

BOOST_AUTO_TEST_CASE(an_unreadable_file_is_one_fault)
{
  const LoadResult result = LoadSettings("/nonexistent/settings.json");
  BOOST_REQUIRE(result.faults.size() == 1);
  BOOST_TEST(result.faults.front() ==
             "/nonexistent/settings.json: expected a readable file, found none");
  BOOST_TEST(LoadSettings("/").faults.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::settings
