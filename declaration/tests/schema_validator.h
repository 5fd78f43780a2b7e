#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <regex>
#include <string>

namespace skylarkwing::declaration {

/** Validates documents; supports the JSON Schema keywords that the declaration's schema uses. */
class SchemaValidator
{
public:
  explicit SchemaValidator(nlohmann::json aSchema)
    : mSchema(std::move(aSchema))
  {
  }

  bool IsValid(const nlohmann::json& aDocument) const { return Check(aDocument, mSchema); }

private:
  using json = nlohmann::json;

  json mSchema;

  bool Check(const json& aValue, const json& aSchema) const
  {
    if (aSchema.contains("$ref")) {
      const std::string reference = aSchema["$ref"].get<std::string>().substr(1);
      return Check(aValue, mSchema.at(json::json_pointer(reference)));
    }
    const std::string type = aSchema.at("type").get<std::string>();
    if (type == "object") {
      return aValue.is_object() && CheckObject(aValue, aSchema);
    }
    if (type == "array") {
      return aValue.is_array() && aValue.size() >= aSchema.value("minItems", 0U) &&
             std::all_of(aValue.begin(), aValue.end(), [&](const json& aItem) {
               return Check(aItem, aSchema.at("items"));
             });
    }
    if (type == "string") {
      return aValue.is_string() && CheckString(aValue.get<std::string>(), aSchema);
    }
    if (type == "boolean") {
      return aValue.is_boolean();
    }
    const bool isNumber = type == "integer" ? aValue.is_number_integer() : aValue.is_number();
    return isNumber && aValue.get<double>() >= aSchema.at("minimum").get<double>() &&
           aValue.get<double>() <= aSchema.at("maximum").get<double>();
  }

  bool CheckObject(const json& aValue, const json& aSchema) const
  {
    for (const json& key : aSchema.at("required")) {
      if (!aValue.contains(key.get<std::string>())) {
        return false;
      }
    }
    const json& properties = aSchema.at("properties");
    return std::all_of(aValue.items().begin(), aValue.items().end(), [&](const auto& aItem) {
      return properties.contains(aItem.key()) && Check(aItem.value(), properties[aItem.key()]);
    });
  }

  static bool CheckString(const std::string& aText, const json& aSchema)
  {
    const bool isMatch =
      !aSchema.contains("pattern") ||
      std::regex_search(aText, std::regex(aSchema["pattern"].get<std::string>()));
    return isMatch && aText.size() >= aSchema.value("minLength", 0U) &&
           aText.size() <= aSchema.value("maxLength", std::string::npos);
  }
};

} // namespace skylarkwing::declaration
