#include "declaration/configuration_codec.h"

#include "core/text_rules.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace skylarkwing::declaration {

namespace {

using core::IntegerRange;
using core::JsonReader;
using core::Presence;
using nlohmann::json;

constexpr IntegerRange kGeneration{ 1, std::numeric_limits<std::uint64_t>::max() };
constexpr IntegerRange kUnixMilliseconds{ 0, std::numeric_limits<std::int64_t>::max() };
constexpr std::size_t kMaxChangeBytes = 1000;

const core::TextRule&
ChangeRule()
{
  static const core::TextRule kRule{ "a string of at most 1000 bytes", [](std::string_view aText) {
                                      return aText.size() <= kMaxChangeBytes;
                                    } };
  return kRule;
}

void
ReadRecord(JsonReader& aReader, ChangeRecord& aTarget)
{
  aReader.Integer64("generation", aTarget.generation, kGeneration, Presence::Required);
  aReader.Text("author", aTarget.author, core::RemarkRule(), Presence::Required);
  aReader.Text("reason", aTarget.reason, core::RemarkRule(), Presence::Required);
  aReader.Texts("changes", aTarget.changes, ChangeRule(), Presence::Required);
  std::uint64_t writtenAt = 0;
  aReader.Integer64("writtenAt", writtenAt, kUnixMilliseconds, Presence::Required);
  aReader.Text("writeId", aTarget.writeId, core::NameRule(), Presence::Required);
  aTarget.writtenAt = static_cast<std::int64_t>(writtenAt);
}

void
ReadTopLevel(JsonReader& aReader, Configuration& aTarget, std::vector<Fault>& aFaults)
{
  aReader.Integer64("generation", aTarget.generation, kGeneration, Presence::Required);
  aReader.Text("writeId", aTarget.writeId, core::NameRule(), Presence::Required);
  const JsonReader::ObjectFunction readRecord = [&aTarget](JsonReader& aRecord) {
    ReadRecord(aRecord, aTarget.history.emplace_back());
  };
  aReader.Objects("history", readRecord, Presence::Required);
  const JsonReader::AnyFunction readDeclaration = [&aTarget, &aFaults](const json& aDocument) {
    ParseResult result = ReadDeclaration(aDocument);
    for (Fault& fault : result.faults) {
      fault.path = "/declaration" + fault.path;
      aFaults.push_back(std::move(fault));
    }
    if (result.declaration) {
      aTarget.declaration = std::move(*result.declaration);
    }
  };
  aReader.Any("declaration", "a declaration", readDeclaration, Presence::Required);
  aReader.RejectUnknownKeys();
}

} // namespace

ParseConfigurationResult
ReadConfiguration(const json& aDocument)
{
  ParseConfigurationResult result;
  Configuration configuration;
  JsonReader reader(aDocument, "", result.faults);
  ReadTopLevel(reader, configuration, result.faults);
  if (result.faults.empty()) {
    result.configuration = std::move(configuration);
  }
  return result;
}

ParseConfigurationResult
ParseConfiguration(std::string_view aText)
{
  std::vector<Fault> faults;
  const std::optional<json> document = core::ParseJson(aText, faults);
  if (!document || !faults.empty()) {
    return { std::nullopt, std::move(faults) };
  }
  return ReadConfiguration(*document);
}

json
ToJson(const ChangeRecord& aRecord)
{
  return { { "generation", aRecord.generation }, { "author", aRecord.author },
           { "reason", aRecord.reason },         { "changes", aRecord.changes },
           { "writtenAt", aRecord.writtenAt },   { "writeId", aRecord.writeId } };
}

json
ToJson(const Configuration& aConfiguration)
{
  json history = json::array();
  for (const ChangeRecord& record : aConfiguration.history) {
    history.push_back(ToJson(record));
  }
  return { { "generation", aConfiguration.generation },
           { "writeId", aConfiguration.writeId },
           { "declaration", ToJson(aConfiguration.declaration) },
           { "history", std::move(history) } };
}

std::string
ConfigurationToText(const Configuration& aConfiguration)
{
  return ToJson(aConfiguration).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace skylarkwing::declaration
