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

/** @return whether the schema cannot express the rule that a fault violates. */
bool
IsBeyondSchema(const Fault& aFault)
{
  const std::vector<std::string> prefixes{ "a name that no other",
                                           "an address that no other",
                                           "an index that is not listed",
                                           "the name of",
                                           "at most",
                                           "at least the" };
  return std::any_of(prefixes.begin(), prefixes.end(), [&aFault](const std::string& aText) {
    return aFault.expected.starts_with(aText);
  });
}

/** @return pointers to all values in a document, excluding the document itself. */
std::vector<json::json_pointer>
AllPointers(const json& aDocument)
{
  std::vector<json::json_pointer> pointers;
  const json flat = aDocument.flatten();
  for (const auto& [path, value] : flat.items()) {
    json::json_pointer pointer(path);
    while (!pointer.empty()) {
      pointers.push_back(pointer);
      pointer = pointer.parent_pointer();
    }
  }
  return pointers;
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

/** @return copies of a document, each with a single value replaced or removed. */
std::vector<json>
AllSingleMutations(const json& aDocument)
{
  std::vector<json> mutants;
  for (const json::json_pointer& pointer : AllPointers(aDocument)) {
    for (const json& value : Replacements()) {
      mutants.push_back(aDocument);
      mutants.back()[pointer] = value;
    }
    json& erased = mutants.emplace_back(aDocument);
    json& parent = erased[pointer.parent_pointer()];
    if (parent.is_object()) {
      parent.erase(pointer.back());
    }
  }
  return mutants;
}

bool
Agrees(const SchemaValidator& aSchema, const json& aDocument)
{
  const ParseResult result = ReadDeclaration(aDocument);
  const bool isReadable = std::all_of(result.faults.begin(), result.faults.end(), IsBeyondSchema);
  return aSchema.IsValid(aDocument) == isReadable;
}

void
MutateOnce(json& aDocument)
{
  const std::vector<json::json_pointer> pointers = AllPointers(aDocument);
  if (pointers.empty()) {
    return;
  }
  const auto at = *rc::gen::inRange<std::size_t>(0, pointers.size());
  const auto kind = *rc::gen::inRange(0, 4);
  const auto value = *rc::gen::inRange<std::size_t>(0, Replacements().size());
  const json::json_pointer& pointer = pointers[at];
  json& parent = aDocument[pointer.parent_pointer()];
  if (kind == 0 && parent.is_object()) {
    parent.erase(pointer.back());
    return;
  }
  if (kind == 1 && parent.is_object()) {
    parent[pointer.back() + "s"] = Replacements()[value];
    return;
  }
  aDocument[pointer] = Replacements()[value];
}

} // namespace

BOOST_AUTO_TEST_SUITE(declaration_schema)

BOOST_AUTO_TEST_CASE(schema_and_parser_accept_the_deployments_and_program_output)
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

BOOST_AUTO_TEST_CASE(schema_and_parser_agree_on_every_single_mutation)
{
  const SchemaValidator schema = Schema();
  const json valid = ToJson(SmallDeclaration());
  std::size_t accepted = 0;
  const std::vector<json> documents = AllSingleMutations(valid);
  for (const json& document : documents) {
    accepted += schema.IsValid(document) ? 1 : 0;
    BOOST_TEST(Agrees(schema, document), json::diff(valid, document).dump());
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(accepted < documents.size());
}

BOOST_AUTO_TEST_CASE(schema_and_parser_agree_on_multiple_mutations)
{
  const SchemaValidator schema = Schema();
  const bool hasPassed = rc::check("schema and parser agree", [&] {
    json document = SmallDocument();
    for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
      MutateOnce(document);
    }
    RC_LOG() << json::diff(SmallDocument(), document).dump();
    RC_ASSERT(Agrees(schema, document));
  });
  BOOST_TEST(hasPassed);
}

BOOST_AUTO_TEST_CASE(only_the_parser_checks_the_octets_of_an_address)
{
  json document = SmallDocument();
  document["indexes"][0]["services"][0]["replicas"][0]["address"] = "10.0.0.999:7000";
  BOOST_TEST(Schema().IsValid(document));
  BOOST_TEST(ReadDeclaration(document).faults.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::declaration
