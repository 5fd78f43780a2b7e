#include "declaration/configuration_codec.h"
#include "declaration/tests/declaration_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace skylarkwing::declaration {

namespace {

using nlohmann::json;

std::string
FaultsToText(const std::vector<Fault>& aFaults)
{
  std::string text;
  for (const Fault& fault : aFaults) {
    text += core::ToText(fault) + "\n";
  }
  return text;
}

/** Replaces one value of the small document. @return the only fault that this causes. */
Fault
OnlyFaultWith(const std::string& aPath, const json& aValue)
{
  json document = SmallDocument();
  document[json::json_pointer(aPath)] = aValue;
  const ParseResult result = ParseDeclaration(document.dump());
  BOOST_TEST(!result.declaration.has_value());
  BOOST_REQUIRE_MESSAGE(result.faults.size() == 1, aPath << "\n" << FaultsToText(result.faults));
  return result.faults.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(declaration_parser)

BOOST_AUTO_TEST_CASE(a_valid_document_survives_a_round_trip)
{
  const ParseResult result = ParseDeclaration(SmallDocument().dump());
  BOOST_REQUIRE_MESSAGE(result.declaration.has_value(), FaultsToText(result.faults));
  const Declaration& declaration = *result.declaration;
  BOOST_TEST(declaration.failureDomains.at(2).out);
  BOOST_TEST(declaration.indexes.at(0).limits.connectTime.count() == 6);
  BOOST_TEST(declaration.profiles.at(1).objective.latency.count() == 90);
  const ParseResult again = ReadDeclaration(ToJson(declaration));
  BOOST_REQUIRE(again.declaration.has_value());
  BOOST_TEST(ToJson(*again.declaration) == ToJson(declaration));
}

BOOST_AUTO_TEST_CASE(each_fault_has_the_path_of_its_field)
{
  const std::string replica = "/indexes/0/services/0/replicas/1";
  BOOST_TEST(OnlyFaultWith(replica + "/address", "10.0.0.1:99999").path == replica + "/address");
  BOOST_TEST(OnlyFaultWith(replica + "/address", "10.0.0.1:7000").path == replica + "/address");
  BOOST_TEST(OnlyFaultWith(replica + "/name", "catalogue-0-a").path == replica + "/name");
  BOOST_TEST(OnlyFaultWith(replica + "/name", "a/b").path == replica + "/name");
  BOOST_TEST(OnlyFaultWith("/indexes/0/limits/slots", -1).path == "/indexes/0/limits/slots");
  BOOST_TEST(OnlyFaultWith("/indexes/0/limits/connections", 100001).path ==
             "/indexes/0/limits/connections");
  BOOST_TEST(OnlyFaultWith("/profiles/0/concurrency", 0).path == "/profiles/0/concurrency");
  BOOST_TEST(OnlyFaultWith("/indexes/0/limits/slots", 2.5).path == "/indexes/0/limits/slots");
  BOOST_TEST(OnlyFaultWith("/indexes/0/limits/coldSlots", 4).path == "/indexes/0/limits/coldSlots");
  BOOST_TEST(OnlyFaultWith("/indexes/0/limits/connections", 2).path ==
             "/indexes/0/limits/connections");
  BOOST_TEST(OnlyFaultWith("/indexes/0/services", json::array()).path == "/indexes/0/services");
  BOOST_TEST(OnlyFaultWith("/profiles/0/retryBudget", 1.1).path == "/profiles/0/retryBudget");
  BOOST_TEST(OnlyFaultWith("/profiles/1/defaultDeadlineMs", 2001).path ==
             "/profiles/1/defaultDeadlineMs");
}

BOOST_AUTO_TEST_CASE(typos_are_answered_with_the_most_similar_name)
{
  const Fault key = OnlyFaultWith("/profiles/0/hedgeBugdet", 0.1);
  BOOST_TEST(key.path == "/profiles/0/hedgeBugdet");
  BOOST_TEST(key.expected == "a known key such as \"hedgeBudget\"");
  const Fault domain = OnlyFaultWith("/indexes/0/services/0/replicas/0/failureDomain", "Ikaje");
  BOOST_TEST(domain.expected == "the name of a failure domain such as \"Ikeja\"");
  BOOST_TEST(OnlyFaultWith("/profiles/0/indexes/0", "catalogue").path == "/profiles/0/indexes/0");
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once)
{
  json document = SmallDocument();
  document.erase("deployment");
  document["failureDomains"][0]["region"] = 7;
  document["indexes"][0]["limits"]["slots"] = 0;
  document["profiles"][1]["idempotent"] = "no";
  document["profiles"][1]["owner"] = "me";
  const ParseResult result = ParseDeclaration(document.dump());
  BOOST_TEST(result.faults.size() == 5, FaultsToText(result.faults));
}

BOOST_AUTO_TEST_CASE(invalid_json_and_duplicate_keys_are_rejected)
{
  BOOST_TEST(ParseDeclaration("{\"deployment\": ").faults.size() == 1);
  BOOST_TEST(ParseDeclaration("[]").faults.size() == 1);
  BOOST_TEST(!ParseDeclaration("1e999").declaration.has_value());
  std::string text = SmallDocument().dump();
  text.insert(1, "\"deployment\": \"other\",");
  const ParseResult result = ParseDeclaration(text);
  BOOST_TEST(!result.declaration.has_value());
  BOOST_TEST(FaultsToText(result.faults).find("\"deployment\" twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(corrupted_text_is_rejected_or_parses_to_a_valid_declaration)
{
  const std::string valid = SmallDocument().dump();
  const bool hasPassed =
    rc::check("corrupted text is rejected or parses to a valid declaration", [&] {
      std::string text = valid;
      const auto edits = *rc::gen::inRange(1, 6);
      for (int n = 0; n < edits; ++n) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text[position] = *rc::gen::arbitrary<char>();
      }
      const ParseResult result = ParseDeclaration(text);
      RC_ASSERT(result.declaration.has_value() == result.faults.empty());
      if (result.declaration) {
        RC_ASSERT(ReadDeclaration(ToJson(*result.declaration)).declaration.has_value());
      }
    });
  BOOST_TEST(hasPassed);
}

BOOST_AUTO_TEST_CASE(a_stored_configuration_survives_a_round_trip)
{
  Configuration configuration;
  configuration.generation = 12;
  configuration.writeId = "a1b2";
  configuration.declaration = SmallDeclaration();
  configuration.history.push_back(
    { 12, "ada", "storm", { "Ikeja goes out" }, 1'750'000'000'000, "a1b2" });
  const std::string text = ConfigurationToText(configuration);
  const ParseConfigurationResult result = ParseConfiguration(text);
  BOOST_REQUIRE_MESSAGE(result.configuration.has_value(), FaultsToText(result.faults));
  BOOST_TEST(ConfigurationToText(*result.configuration) == text);

  json invalid = ToJson(configuration);
  invalid["declaration"]["failureDomains"][0]["name"] = "";
  const ParseConfigurationResult rejected = ParseConfiguration(invalid.dump());
  BOOST_TEST(!rejected.configuration.has_value());
  BOOST_TEST(rejected.faults.front().path == "/declaration/failureDomains/0/name");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::declaration
