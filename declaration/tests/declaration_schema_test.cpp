#include "declaration/tests/declaration_fixture.h"
#include "declaration/tests/schema_validator.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <vector>

namespace skylarkwing::declaration {

namespace {

using nlohmann::json;

json
ReadFile(const std::string& aName)
{
  std::ifstream file(std::string(SKYLARKWING_SOURCE_DIR) + "/" + aName);
  return json::parse(file);
}

SchemaValidator
Schema()
{
  return SchemaValidator(ReadFile("declaration/schema/declaration.schema.json"));
}

/** @return whether a fault is one that a schema can't express. */
bool
IsBeyondSchema(const Fault& aFault)
{
  const std::vector<std::string> beginnings{ "a name that no other",
                                             "an address that no other",
                                             "an index that is not listed",
                                             "the name of",
                                             "at most",
                                             "at least the" };
  return std::any_of(beginnings.begin(), beginnings.end(), [&aFault](const std::string& aText) {
    return aFault.expected.starts_with(aText);
  });
}

/** @return every place of a document, the document itself left out. */
std::vector<json::json_pointer>
PlacesOf(const json& aDocument)
{
  std::vector<json::json_pointer> places;
  const json flat = aDocument.flatten();
  for (const auto& [path, value] : flat.items()) {
    json::json_pointer place(path);
    while (!place.empty()) {
      places.push_back(place);
      place = place.parent_pointer();
    }
  }
  return places;
}

const std::vector<json>&
Replacements()
{
  static const std::vector<json> kValues{ nullptr,
                                          true,
                                          false,
                                          0,
                                          1,
                                          2,
                                          -1,
                                          0.5,
                                          1.5,
                                          10'001,
                                          600'001,
                                          "",
                                          "x y",
                                          "name",
                                          "10.0.0.9:80",
                                          "Ikeja",
                                          json::array(),
                                          json::object(),
                                          std::string(65, 'a'),
                                          std::string(1025, 'a') };
  return kValues;
}

/** @return a document with each single damage that a replacement can do to it. */
std::vector<json>
AllSingleDamages(const json& aDocument)
{
  std::vector<json> damaged;
  for (const json::json_pointer& place : PlacesOf(aDocument)) {
    for (const json& value : Replacements()) {
      damaged.push_back(aDocument);
      damaged.back()[place] = value;
    }
    json& erased = damaged.emplace_back(aDocument);
    json& parent = erased[place.parent_pointer()];
    if (parent.is_object()) {
      parent.erase(place.back());
    }
  }
  return damaged;
}

bool
IsAgreed(const SchemaValidator& aSchema, const json& aDocument)
{
  const ParseResult result = ReadDeclaration(aDocument);
  const bool isReadable = std::all_of(result.faults.begin(), result.faults.end(), IsBeyondSchema);
  return aSchema.IsValid(aDocument) == isReadable;
}

void
DamageOnce(json& aDocument)
{
  const std::vector<json::json_pointer> places = PlacesOf(aDocument);
  if (places.empty()) {
    return;
  }
  const auto at = *rc::gen::inRange<std::size_t>(0, places.size());
  const auto kind = *rc::gen::inRange(0, 4);
  const auto value = *rc::gen::inRange<std::size_t>(0, Replacements().size());
  const json::json_pointer& place = places[at];
  json& parent = aDocument[place.parent_pointer()];
  if (kind == 0 && parent.is_object()) {
    parent.erase(place.back());
    return;
  }
  if (kind == 1 && parent.is_object()) {
    parent[place.back() + "s"] = Replacements()[value];
    return;
  }
  aDocument[place] = Replacements()[value];
}

} // namespace

BOOST_AUTO_TEST_SUITE(declaration_schema)

BOOST_AUTO_TEST_CASE(both_accept_the_deployments_and_what_the_program_writes)
{
  const SchemaValidator schema = Schema();
  BOOST_TEST(schema.IsValid(SmallDocument()));
  BOOST_TEST(schema.IsValid(ToJson(SmallDeclaration())));
  for (const char* name : { "deployments/adebayo.json", "deployments/brezelkar.json" }) {
    const json document = ReadFile(name);
    BOOST_TEST(schema.IsValid(document), name);
    BOOST_TEST(ReadDeclaration(document).faults.empty(), name);
  }
}

BOOST_AUTO_TEST_CASE(schema_and_parser_agree_on_every_single_damage)
{
  const SchemaValidator schema = Schema();
  const json good = ToJson(SmallDeclaration());
  std::size_t accepted = 0;
  const std::vector<json> documents = AllSingleDamages(good);
  for (const json& document : documents) {
    accepted += schema.IsValid(document) ? 1 : 0;
    BOOST_TEST(IsAgreed(schema, document), json::diff(good, document).dump());
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(accepted < documents.size());
}

BOOST_AUTO_TEST_CASE(schema_and_parser_agree_on_several_damages)
{
  const SchemaValidator schema = Schema();
  const bool isHeld = rc::check("schema and parser agree", [&] {
    json document = SmallDocument();
    for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
      DamageOnce(document);
    }
    RC_LOG() << json::diff(SmallDocument(), document).dump();
    RC_ASSERT(IsAgreed(schema, document));
  });
  BOOST_TEST(isHeld);
}

BOOST_AUTO_TEST_CASE(only_the_parser_knows_what_numbers_an_address_has)
{
  json document = SmallDocument();
  document["indexes"][0]["services"][0]["replicas"][0]["address"] = "10.0.0.999:7000";
  BOOST_TEST(Schema().IsValid(document));
  BOOST_TEST(ReadDeclaration(document).faults.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::declaration
