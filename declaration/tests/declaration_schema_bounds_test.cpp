#include "declaration/declaration_parser.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string>

namespace skylarkwing::declaration {

namespace {

using nlohmann::json;
using Pointer = json::json_pointer;

json
ReadJson(const std::string& aPath)
{
  std::ifstream file(SKYLARKWING_SOURCE_DIR "/" + aPath);
  return json::parse(file);
}

/** The schema, and a declaration that contains all keys. */
struct SchemaFixture
{
  SchemaFixture()
  {
    document = ToJson(*ReadDeclaration(ReadJson("deployments/adebayo.json")).declaration);
    document["failureDomains"][0]["reason"] = "cooling work";
    BOOST_REQUIRE(ReadDeclaration(document).declaration.has_value());
  }

  json Resolve(const json& aNode) const
  {
    if (!aNode.contains("$ref")) {
      return aNode;
    }
    const std::string reference = aNode["$ref"].get<std::string>();
    return schema.at(Pointer(reference.substr(1)));
  }

  static bool IsRejectedAt(const json& aDocument, const Pointer& aPath)
  {
    const std::string path = aPath.to_string();
    const ParseResult result = ReadDeclaration(aDocument);
    return std::any_of(result.faults.begin(), result.faults.end(), [&](const Fault& aFault) {
      return aFault.path == path;
    });
  }

  bool IsRejected(const Pointer& aPath, const json& aValue) const
  {
    json changed = document;
    changed[aPath] = aValue;
    return IsRejectedAt(changed, aPath);
  }

  /** @return whether a value is accepted with either the smallest or the largest other limits. */
  bool IsAccepted(const Pointer& aPath, const json& aValue) const
  {
    json smallest = document;
    smallest["indexes"][0]["limits"] = { { "slots", 1 }, { "coldSlots", 1 }, { "connections", 1 } };
    json largest = document;
    largest["indexes"][0]["limits"] = { { "slots", 10000 },
                                        { "coldSlots", 1 },
                                        { "connections", 100000 } };
    largest["profiles"][0]["longestDeadlineMs"] = 600000;
    smallest[aPath] = aValue;
    largest[aPath] = aValue;
    return !IsRejectedAt(smallest, aPath) || !IsRejectedAt(largest, aPath);
  }

  /** Calls a function for each object in the schema, with the path of its first instance. */
  void ForEachObject(const json& aNode,
                     const Pointer& aPath,
                     const std::function<void(const json&, const Pointer&)>& aVisit) const
  {
    const json node = Resolve(aNode);
    if (node.at("type") == "array") {
      ForEachObject(node.at("items"), aPath / 0, aVisit);
    }
    if (node.at("type") != "object") {
      return;
    }
    aVisit(node, aPath);
    for (const auto& [name, property] : node.at("properties").items()) {
      ForEachObject(property, aPath / name, aVisit);
    }
  }

  void ForEachProperty(const std::function<void(const json&, const Pointer&)>& aVisit) const
  {
    ForEachObject(schema, Pointer(), [&](const json& aObject, const Pointer& aPath) {
      for (const auto& [name, property] : aObject.at("properties").items()) {
        aVisit(Resolve(property), aPath / name);
      }
    });
  }

  json schema = ReadJson("declaration/schema/declaration.schema.json");
  json document;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(declaration_schema_bounds, SchemaFixture)

BOOST_AUTO_TEST_CASE(schema_and_parser_have_the_same_keys)
{
  ForEachObject(schema, Pointer(), [&](const json& aObject, const Pointer& aPath) {
    BOOST_TEST(aObject.at("additionalProperties") == false);
    std::set<std::string> described;
    for (const auto& [name, property] : aObject.at("properties").items()) {
      described.insert(name);
    }
    std::set<std::string> written;
    for (const auto& [name, value] : document.at(aPath).items()) {
      written.insert(name);
    }
    BOOST_TEST(described == written, aPath.to_string());
    BOOST_TEST(IsRejected(aPath / "notAKey", 1), aPath.to_string());
  });
}

BOOST_AUTO_TEST_CASE(schema_and_parser_require_the_same_keys)
{
  ForEachObject(schema, Pointer(), [&](const json& aObject, const Pointer& aPath) {
    const auto required = aObject.at("required").get<std::set<std::string>>();
    for (const auto& [name, property] : aObject.at("properties").items()) {
      json changed = document;
      changed[aPath].erase(name);
      const Pointer path = aPath / name;
      BOOST_TEST(IsRejectedAt(changed, path) == (required.count(name) > 0), path.to_string());
    }
  });
}

BOOST_AUTO_TEST_CASE(schema_and_parser_require_the_same_types)
{
  ForEachProperty([&](const json& aProperty, const Pointer& aPath) {
    const json wrong = aProperty.at("type") == "boolean" ? json(1) : json(true);
    BOOST_TEST(IsRejected(aPath, wrong), aPath.to_string());
    if (aProperty.at("type") == "integer") {
      BOOST_TEST(IsRejected(aPath, 1.5), aPath.to_string());
    }
  });
}

BOOST_AUTO_TEST_CASE(schema_and_parser_have_the_same_bounds)
{
  ForEachProperty([&](const json& aProperty, const Pointer& aPath) {
    const std::string path = aPath.to_string();
    if (aProperty.contains("minimum")) {
      const double step = aProperty.at("type") == "integer" ? 1 : 0.001;
      const json below = aProperty.at("type") == "integer"
                           ? json(aProperty.at("minimum").get<int>() - 1)
                           : json(-step);
      const json above = aProperty.at("type") == "integer"
                           ? json(aProperty.at("maximum").get<int>() + 1)
                           : json(1 + step);
      BOOST_TEST(IsRejected(aPath, below), path);
      BOOST_TEST(IsRejected(aPath, above), path);
      BOOST_TEST(IsAccepted(aPath, aProperty.at("minimum")), path);
      BOOST_TEST(IsAccepted(aPath, aProperty.at("maximum")), path);
    }
    if (aProperty.contains("maxLength")) {
      const auto maxLength = aProperty.at("maxLength").get<std::size_t>();
      // A reference to an unknown name is rejected regardless of its length.
      const bool isReference = aPath.back() == "failureDomain";
      BOOST_TEST(IsRejected(aPath, std::string(maxLength, 'a')) == isReference, path);
      BOOST_TEST(IsRejected(aPath, std::string(maxLength + 1, 'a')), path);
    }
    if (aProperty.contains("minLength")) {
      BOOST_TEST(IsRejected(aPath, ""), path);
    }
    if (aProperty.at("type") == "array") {
      BOOST_TEST(IsRejected(aPath, json::array()) == aProperty.contains("minItems"), path);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::declaration
