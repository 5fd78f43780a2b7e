#include "settings/settings.h"

#include "core/name_table.h"
#include "core/text_rules.h"

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace skylarkwing::settings {

namespace {

using core::IntegerRange;
using core::JsonFault;
using core::JsonReader;
using core::Presence;
using core::TextRule;

constexpr std::size_t kMaxPathBytes = 4096;
constexpr std::size_t kMaxFileBytes = 64UL * 1024;
constexpr IntegerRange kStopGraceSeconds{ 1, 3600 };
constexpr IntegerRange kRandomSeed{ 0, std::numeric_limits<std::uint64_t>::max() };
constexpr core::NameTable<core::LogLevel, 4> kLogLevels{ { "debug", "info", "warning", "error" } };
constexpr core::NameTable<core::LogFormat, 2> kLogFormats{ { "plain", "json" } };

/** VM names must not contain dots, because dots separate the parts of request identities. */
bool
IsVmName(std::string_view aText)
{
  return core::NameRule().isMet(aText) && aText.find('.') == std::string_view::npos;
}

bool
IsPath(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxPathBytes;
}

const TextRule kVmName{
  "a name of 1 to 64 letters, digits, '-' and '_', the first a letter or digit",
  IsVmName
};
const TextRule kPath{ "the path of a file", IsPath };
const TextRule kLogLevel{ R"("debug", "info", "warning" or "error")", [](std::string_view aText) {
                           return kLogLevels.ValueOf(aText).has_value();
                         } };
const TextRule kLogFormat{ R"("plain" or "json")", [](std::string_view aText) {
                            return kLogFormats.ValueOf(aText).has_value();
                          } };

void
ReadLog(JsonReader& aReader, Settings& aTarget)
{
  std::string level(kLogLevels.NameOf(aTarget.logLevel));
  aReader.Text("level", level, kLogLevel, Presence::Optional);
  aTarget.logLevel = kLogLevels.ValueOf(level).value_or(aTarget.logLevel);
  std::string format(kLogFormats.NameOf(aTarget.logFormat));
  aReader.Text("format", format, kLogFormat, Presence::Optional);
  aTarget.logFormat = kLogFormats.ValueOf(format).value_or(aTarget.logFormat);
}

void
ReadListen(JsonReader& aReader, Settings& aTarget)
{
  aReader.Text("caller", aTarget.callerAddress, core::AddressRule(), Presence::Required);
  aReader.Text("peer", aTarget.peerAddress, core::AddressRule(), Presence::Required);
  aReader.Text("operator", aTarget.operatorAddress, core::AddressRule(), Presence::Required);
}

void
ReadOperators(JsonReader& aReader, Settings& aTarget)
{
  aReader.Text("readTokenFile", aTarget.readTokenFile, kPath, Presence::Required);
  aReader.Text("changeTokenFile", aTarget.changeTokenFile, kPath, Presence::Required);
}

void
ReadTopLevel(JsonReader& aReader, Settings& aTarget)
{
  aReader.Text("vm", aTarget.vm, kVmName, Presence::Required);
  aReader.Text("failureDomain", aTarget.failureDomain, core::NameRule(), Presence::Required);
  aReader.Text("region", aTarget.region, core::TitleRule(), Presence::Required);
  aReader.Text("clusterName", aTarget.clusterName, core::TitleRule(), Presence::Required);
  const JsonReader::ObjectFunction readListen = [&aTarget](JsonReader& aListen) {
    ReadListen(aListen, aTarget);
  };
  aReader.Object("listen", readListen, Presence::Required);
  const JsonReader::ObjectFunction readStore = [&aTarget](JsonReader& aStore) {
    aStore.Texts("endpoints", aTarget.storeEndpoints, core::AddressRule(), Presence::Required, 1);
  };
  aReader.Object("store", readStore, Presence::Required);
  const JsonReader::ObjectFunction readVmList = [&aTarget](JsonReader& aVmList) {
    aVmList.Text("address", aTarget.vmListAddress, core::AddressRule(), Presence::Required);
  };
  aReader.Object("vmList", readVmList, Presence::Required);
  const JsonReader::ObjectFunction readOperators = [&aTarget](JsonReader& aOperators) {
    ReadOperators(aOperators, aTarget);
  };
  aReader.Object("operators", readOperators, Presence::Required);
  const JsonReader::ObjectFunction readLog = [&aTarget](JsonReader& aLog) {
    ReadLog(aLog, aTarget);
  };
  aReader.Object("log", readLog, Presence::Optional);
  const JsonReader::ObjectFunction readResources = [&aTarget](JsonReader& aResources) {
    core::ReadResources(aResources, aTarget.resources.emplace());
  };
  aReader.Object("resources", readResources, Presence::Optional);
  aReader.Integer(
    "stopGraceSeconds", aTarget.stopGraceSeconds, kStopGraceSeconds, Presence::Optional);
  aReader.Integer64("randomSeed", aTarget.randomSeed, kRandomSeed, Presence::Optional);
  aReader.RejectUnknownKeys();
}

/** Requires three different addresses, so that callers cannot reach the operator API. */
void
CheckAddressesDiffer(const Settings& aSettings, std::vector<JsonFault>& aFaults)
{
  std::map<std::string, std::string> paths;
  const std::array<std::pair<std::string, std::string>, 3> listeners{
    { { "/listen/caller", aSettings.callerAddress },
      { "/listen/peer", aSettings.peerAddress },
      { "/listen/operator", aSettings.operatorAddress } }
  };
  for (const auto& [path, address] : listeners) {
    if (address.empty()) {
      continue;
    }
    const auto [it, isNew] = paths.emplace(address, path);
    if (!isNew) {
      aFaults.push_back(
        { path, "an address of its own", "\"" + address + "\" as at " + it->second });
    }
  }
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (file.fail() && !file.eof())) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

} // namespace

LoadResult
ParseSettings(std::string_view aText)
{
  std::vector<JsonFault> faults;
  Settings settings;
  const std::optional<nlohmann::json> document = core::ParseJson(aText, faults);
  if (document) {
    JsonReader reader(*document, "", faults);
    ReadTopLevel(reader, settings);
    CheckAddressesDiffer(settings, faults);
  }
  LoadResult result;
  for (const JsonFault& fault : faults) {
    result.faults.push_back(core::ToText(fault));
  }
  if (result.faults.empty()) {
    result.settings = std::move(settings);
  }
  return result;
}

LoadResult
LoadSettings(const std::string& aPath)
{
  const std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    return { std::nullopt, { aPath + ": expected a readable file, found none" } };
  }
  if (text->size() > kMaxFileBytes) {
    return { std::nullopt, { aPath + ": expected at most 64 KiB, found more" } };
  }
  LoadResult result = ParseSettings(*text);
  for (std::string& fault : result.faults) {
    fault.insert(0, aPath + ": ");
  }
  return result;
}

} // namespace skylarkwing::settings
