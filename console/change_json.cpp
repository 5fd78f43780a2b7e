#include "console/change_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>
#include <string_view>
#include <utility>

namespace skylarkwing::console {

namespace {

using nlohmann::json;

/** Reads fields of a JSON object and records the first fault. */
class FieldReader
{
public:
  explicit FieldReader(const std::string& aText)
    : mObject(json::parse(aText, nullptr, false))
  {
    if (!mObject.is_object()) {
      mFault = "the body is not a JSON object";
    }
  }

  std::string Text(const char* aName, bool aIsRequired)
  {
    const json* field = Find(aName, aIsRequired);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_string()) {
      Fail(aName, "must be text");
      return {};
    }
    return field->get<std::string>();
  }

  /** Reads a JSON document given as an object or as a string. */
  std::string Document(const char* aName)
  {
    const json* field = Find(aName, true);
    return field != nullptr && field->is_object() ? field->dump() : Text(aName, true);
  }

  bool Flag(const char* aName, bool aIsRequired)
  {
    const json* field = Find(aName, aIsRequired);
    if (field == nullptr) {
      return false;
    }
    if (!field->is_boolean()) {
      Fail(aName, "must be true or false");
      return false;
    }
    return field->get<bool>();
  }

  std::optional<std::uint64_t> Number(const char* aName)
  {
    const json* field = Find(aName, false);
    if (field == nullptr || field->is_null()) {
      return std::nullopt;
    }
    if (!field->is_number_unsigned()) {
      Fail(aName, "must be a whole number from 0");
      return std::nullopt;
    }
    return field->get<std::uint64_t>();
  }

  /** Unknown fields are faults, so that a misspelt "force" is not silently ignored. */
  void RefuseUnknownFields(std::initializer_list<std::string_view> aKnown)
  {
    if (!mObject.is_object()) {
      return;
    }
    for (const auto& [name, value] : mObject.items()) {
      const bool isKnown = std::find(aKnown.begin(), aKnown.end(), name) != aKnown.end();
      if (!isKnown) {
        Fail(name, "is not a known field");
      }
    }
  }

  const std::string& Fault() const { return mFault; }

private:
  json mObject;
  std::string mFault;

  const json* Find(const char* aName, bool aIsRequired)
  {
    if (!mObject.is_object()) {
      return nullptr;
    }
    const auto it = mObject.find(aName);
    if (it != mObject.end()) {
      return &*it;
    }
    if (aIsRequired) {
      Fail(aName, "is missing");
    }
    return nullptr;
  }

  void Fail(const std::string& aName, const char* aWhat)
  {
    if (mFault.empty()) {
      mFault = "\"" + aName + "\" " + aWhat;
    }
  }
};

ChangeTerms
ReadTerms(FieldReader& aReader)
{
  ChangeTerms terms;
  terms.expectedGeneration = aReader.Number("expectedGeneration");
  terms.author = aReader.Text("author", true);
  terms.reason = aReader.Text("reason", false);
  terms.force = aReader.Flag("force", false);
  return terms;
}

template<typename T>
ParsedBody<T>
MakeParsedBody(T aBody, const FieldReader& aReader)
{
  ParsedBody<T> parsed;
  parsed.fault = aReader.Fault();
  if (parsed.fault.empty()) {
    parsed.value = std::move(aBody);
  }
  return parsed;
}

json
FaultToJson(const declaration::Fault& aFault)
{
  return { { "path", aFault.path },
           { "expected", aFault.expected },
           { "found", aFault.found },
           { "reason", "expected " + aFault.expected + ", found " + aFault.found } };
}

declaration::ChangeRecord
RecordFromJson(const json& aJson)
{
  declaration::ChangeRecord record;
  record.generation = aJson.at("generation").get<std::uint64_t>();
  record.author = aJson.at("author").get<std::string>();
  record.reason = aJson.at("reason").get<std::string>();
  record.changes = aJson.at("changes").get<std::vector<std::string>>();
  record.writtenAt = aJson.at("writtenAt").get<std::int64_t>();
  return record;
}

declaration::Fault
FaultFromJson(const json& aJson)
{
  declaration::Fault fault;
  fault.path = aJson.at("path").get<std::string>();
  fault.expected = aJson.at("expected").get<std::string>();
  fault.found = aJson.at("found").get<std::string>();
  return fault;
}

} // namespace

ParsedBody<DeclarationBody>
ReadDeclarationBody(const std::string& aText)
{
  FieldReader reader(aText);
  DeclarationBody body;
  body.declaration = reader.Document("declaration");
  body.terms = ReadTerms(reader);
  reader.RefuseUnknownFields({ "declaration", "expectedGeneration", "author", "reason", "force" });
  return MakeParsedBody(std::move(body), reader);
}

ParsedBody<DomainBody>
ReadDomainBody(const std::string& aText)
{
  FieldReader reader(aText);
  DomainBody body;
  body.out = reader.Flag("out", true);
  body.terms = ReadTerms(reader);
  reader.RefuseUnknownFields({ "out", "expectedGeneration", "author", "reason", "force" });
  return MakeParsedBody(std::move(body), reader);
}

json
ToJson(const declaration::ChangeRecord& aRecord)
{
  return { { "generation", aRecord.generation },
           { "author", aRecord.author },
           { "reason", aRecord.reason },
           { "changes", aRecord.changes },
           { "writtenAt", aRecord.writtenAt } };
}

json
ToJson(const ChangeOutcome& aOutcome)
{
  json conflicts = json::array();
  for (const declaration::ChangeRecord& record : aOutcome.conflicts) {
    conflicts.push_back(ToJson(record));
  }
  json faults = json::array();
  for (const declaration::Fault& fault : aOutcome.faults) {
    faults.push_back(FaultToJson(fault));
  }
  return { { "outcome", NameOf(aOutcome.verdict) },
           { "generation", aOutcome.generation },
           { "conflicts", std::move(conflicts) },
           { "faults", std::move(faults) },
           { "harms", aOutcome.harms },
           { "reason", aOutcome.reason } };
}

std::optional<std::vector<declaration::ChangeRecord>>
RecordsFromJson(const json& aJson)
{
  if (!aJson.is_array()) {
    return std::nullopt;
  }
  try {
    std::vector<declaration::ChangeRecord> records;
    for (const json& record : aJson) {
      records.push_back(RecordFromJson(record));
    }
    return records;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<ChangeOutcome>
ChangeOutcomeFromJson(const json& aJson)
{
  try {
    const auto verdict = ChangeVerdictOf(aJson.at("outcome").get<std::string>());
    if (!verdict) {
      return std::nullopt;
    }
    ChangeOutcome outcome;
    outcome.verdict = *verdict;
    outcome.generation = aJson.at("generation").get<std::uint64_t>();
    outcome.harms = aJson.at("harms").get<std::vector<std::string>>();
    outcome.reason = aJson.at("reason").get<std::string>();
    for (const json& record : aJson.at("conflicts")) {
      outcome.conflicts.push_back(RecordFromJson(record));
    }
    for (const json& fault : aJson.at("faults")) {
      outcome.faults.push_back(FaultFromJson(fault));
    }
    return outcome;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace skylarkwing::console
