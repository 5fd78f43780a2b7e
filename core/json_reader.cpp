#include "core/json_reader.h"

#include "core/nearest_name.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>
#include <utility>

namespace skylarkwing::core {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxExcerptLength = 60;
/** One year; a longer duration is taken for a typing error. */
constexpr double kMaxSeconds = 366.0 * 24 * 3600;

std::string
EscapePointer(std::string_view aKey)
{
  std::string escaped;
  for (const char c : aKey) {
    if (c == '~') {
      escaped += "~0";
      continue;
    }
    if (c == '/') {
      escaped += "~1";
      continue;
    }
    escaped += c;
  }
  return escaped;
}

std::string
DescribeRange(IntegerRange aRange)
{
  if (aRange.max == std::numeric_limits<std::uint64_t>::max()) {
    return "a whole number of at least " + std::to_string(aRange.min);
  }
  return "a whole number from " + std::to_string(aRange.min) + " to " + std::to_string(aRange.max);
}

/** Parser callback that collects the keys that occur more than once in the same object. */
class DuplicateKeyFinder
{
public:
  bool operator()(int, json::parse_event_t aEvent, json& aValue)
  {
    if (aEvent == json::parse_event_t::object_start) {
      mKeysOfOpenObjects.emplace_back();
    }
    if (aEvent == json::parse_event_t::object_end) {
      mKeysOfOpenObjects.pop_back();
    }
    if (aEvent == json::parse_event_t::key) {
      const auto& key = aValue.get_ref<const std::string&>();
      if (!mKeysOfOpenObjects.back().insert(key).second) {
        mDuplicates.insert(key);
      }
    }
    return true;
  }

  const std::set<std::string>& Keys() const { return mDuplicates; }

private:
  std::vector<std::set<std::string>> mKeysOfOpenObjects;
  std::set<std::string> mDuplicates;
};

} // namespace

std::string
ToText(const JsonFault& aFault)
{
  const std::string path = aFault.path.empty() ? "(document)" : aFault.path;
  return path + ": expected " + aFault.expected + ", found " + aFault.found;
}

std::string
Excerpt(const json& aValue)
{
  if (aValue.is_object()) {
    return "an object";
  }
  if (aValue.is_array()) {
    return "a list";
  }
  std::string text = aValue.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxExcerptLength) {
    text.resize(kMaxExcerptLength);
    text += "...";
  }
  return text;
}

std::optional<json>
ParseJson(std::string_view aText, std::vector<JsonFault>& aFaults)
{
  DuplicateKeyFinder duplicates;
  json document;
  try {
    document = json::parse(aText, std::ref(duplicates));
  } catch (const json::parse_error& error) {
    const std::string found = "a syntax error at byte ";
    aFaults.push_back({ "", "JSON", found + std::to_string(error.byte) });
    return std::nullopt;
  } catch (const json::exception&) {
    aFaults.push_back({ "", "JSON", "a number that is too large" });
    return std::nullopt;
  }
  for (const std::string& key : duplicates.Keys()) {
    aFaults.push_back({ "", "each key once in its object", "\"" + key + "\" twice" });
  }
  return document;
}

JsonReader::JsonReader(const json& aValue, std::string aPath, std::vector<JsonFault>& aFaults)
  : mPath(std::move(aPath))
  , mFaults(aFaults)
{
  if (!aValue.is_object()) {
    AddFault(mPath, "an object", Excerpt(aValue));
    return;
  }
  mObject = &aValue;
}

void
JsonReader::Text(const char* aKey, std::string& aTarget, const TextRule& aRule, Presence aPresence)
{
  const json* value = Find(aKey, aRule.expected, aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string() || !aRule.isMet(value->get_ref<const std::string&>())) {
    AddFault(PathOf(aKey), std::string(aRule.expected), Excerpt(*value));
    return;
  }
  aTarget = value->get<std::string>();
}

void
JsonReader::Texts(const char* aKey,
                  std::vector<std::string>& aTarget,
                  const TextRule& aRule,
                  Presence aPresence,
                  std::size_t aMinCount)
{
  const json* value = FindArray(aKey, aPresence, aMinCount);
  if (value == nullptr) {
    return;
  }
  aTarget.clear();
  for (std::size_t n = 0; n < value->size(); ++n) {
    const json& item = (*value)[n];
    const bool isValid = item.is_string() && aRule.isMet(item.get_ref<const std::string&>());
    if (!isValid) {
      AddFault(PathOf(aKey) + "/" + std::to_string(n), std::string(aRule.expected), Excerpt(item));
    }
    aTarget.push_back(isValid ? item.get<std::string>() : std::string());
  }
}

void
JsonReader::Boolean(const char* aKey, bool& aTarget, Presence aPresence)
{
  const json* value = Find(aKey, "true or false", aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    AddFault(PathOf(aKey), "true or false", Excerpt(*value));
    return;
  }
  aTarget = value->get<bool>();
}

void
JsonReader::Integer(const char* aKey,
                    std::uint32_t& aTarget,
                    IntegerRange aRange,
                    Presence aPresence)
{
  aRange.max = std::min<std::uint64_t>(aRange.max, std::numeric_limits<std::uint32_t>::max());
  if (const auto value = ReadUnsigned(aKey, aRange, aPresence)) {
    aTarget = static_cast<std::uint32_t>(*value);
  }
}

void
JsonReader::Integer64(const char* aKey,
                      std::uint64_t& aTarget,
                      IntegerRange aRange,
                      Presence aPresence)
{
  if (const auto value = ReadUnsigned(aKey, aRange, aPresence)) {
    aTarget = *value;
  }
}

void
JsonReader::Integer64(const char* aKey,
                      std::optional<std::uint64_t>& aTarget,
                      IntegerRange aRange,
                      Presence aPresence)
{
  if (const auto value = ReadUnsigned(aKey, aRange, aPresence)) {
    aTarget = *value;
  }
}

void
JsonReader::Milliseconds(const char* aKey,
                         std::chrono::milliseconds& aTarget,
                         IntegerRange aRange,
                         Presence aPresence)
{
  if (const auto value = ReadUnsigned(aKey, aRange, aPresence)) {
    aTarget = std::chrono::milliseconds{ *value };
  }
}

void
JsonReader::Seconds(const char* aKey, std::chrono::milliseconds& aTarget, Presence aPresence)
{
  constexpr std::string_view kExpected = "a number of seconds above 0";
  const json* value = Find(aKey, kExpected, aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number() || value->get<double>() <= 0.0 || value->get<double>() > kMaxSeconds) {
    AddFault(PathOf(aKey), std::string(kExpected), Excerpt(*value));
    return;
  }
  aTarget = std::chrono::milliseconds(std::llround(value->get<double>() * 1000.0));
}

void
JsonReader::TextMap(const char* aKey,
                    std::map<std::string, std::string>& aTarget,
                    Presence aPresence)
{
  const json* value = Find(aKey, "an object of strings", aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    AddFault(PathOf(aKey), "an object of strings", Excerpt(*value));
    return;
  }
  for (const auto& [key, member] : value->items()) {
    if (!member.is_string()) {
      AddFault(PathOf(aKey) + "/" + key, "a string", Excerpt(member));
      continue;
    }
    aTarget[key] = member.get<std::string>();
  }
}

void
JsonReader::Share(const char* aKey, double& aTarget, Presence aPresence)
{
  const json* value = Find(aKey, "a number from 0 to 1", aPresence);
  if (value == nullptr) {
    return;
  }
  const double share = value->is_number() ? value->get<double>() : -1.0;
  if (share < 0.0 || share > 1.0) {
    AddFault(PathOf(aKey), "a number from 0 to 1", Excerpt(*value));
    return;
  }
  aTarget = share;
}

void
JsonReader::Object(const char* aKey, const ObjectFunction& aRead, Presence aPresence)
{
  const json* value = Find(aKey, "an object", aPresence);
  if (value == nullptr) {
    return;
  }
  JsonReader reader(*value, PathOf(aKey), mFaults);
  aRead(reader);
  reader.RejectUnknownKeys();
}

void
JsonReader::Objects(const char* aKey,
                    const ObjectFunction& aRead,
                    Presence aPresence,
                    std::size_t aMinCount)
{
  const json* value = FindArray(aKey, aPresence, aMinCount);
  if (value == nullptr) {
    return;
  }
  for (std::size_t n = 0; n < value->size(); ++n) {
    JsonReader reader((*value)[n], PathOf(aKey) + "/" + std::to_string(n), mFaults);
    aRead(reader);
    reader.RejectUnknownKeys();
  }
}

void
JsonReader::Any(const char* aKey,
                std::string_view aExpected,
                const AnyFunction& aRead,
                Presence aPresence)
{
  if (const json* value = Find(aKey, aExpected, aPresence)) {
    aRead(*value);
  }
}

void
JsonReader::RejectUnknownKeys()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& [key, value] : mObject->items()) {
    if (std::find(mKnownKeys.begin(), mKnownKeys.end(), key) != mKnownKeys.end()) {
      continue;
    }
    const auto nearest = NearestName(key, mKnownKeys);
    std::string expected = "a known key";
    if (nearest) {
      expected += " such as \"" + std::string(*nearest) + "\"";
    }
    AddFault(PathOf(key), std::move(expected), Excerpt(json(key)));
  }
}

const json*
JsonReader::FindArray(const char* aKey, Presence aPresence, std::size_t aMinCount)
{
  std::string expected = "a list";
  if (aMinCount > 0) {
    expected += " of at least " + std::to_string(aMinCount);
  }
  const json* value = Find(aKey, expected, aPresence);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    AddFault(PathOf(aKey), std::move(expected), Excerpt(*value));
    return nullptr;
  }
  if (value->size() < aMinCount) {
    AddFault(PathOf(aKey), std::move(expected), "a list of " + std::to_string(value->size()));
  }
  return value;
}

const json*
JsonReader::Find(const char* aKey, std::string_view aExpected, Presence aPresence)
{
  mKnownKeys.emplace_back(aKey);
  if (mObject == nullptr) {
    return nullptr;
  }
  const auto it = mObject->find(aKey);
  if (it != mObject->end()) {
    return &*it;
  }
  if (aPresence == Presence::Required) {
    AddFault(PathOf(aKey), std::string(aExpected), "nothing");
  }
  return nullptr;
}

std::string
JsonReader::PathOf(std::string_view aKey) const
{
  return mPath + "/" + EscapePointer(aKey);
}

void
JsonReader::AddFault(std::string aPath, std::string aExpected, std::string aFound)
{
  mFaults.push_back({ std::move(aPath), std::move(aExpected), std::move(aFound) });
}

std::optional<std::uint64_t>
JsonReader::ReadUnsigned(const char* aKey, IntegerRange aRange, Presence aPresence)
{
  const json* value = Find(aKey, DescribeRange(aRange), aPresence);
  if (value == nullptr) {
    return std::nullopt;
  }
  const bool isNatural =
    value->is_number_unsigned() || (value->is_number_integer() && value->get<std::int64_t>() >= 0);
  const std::uint64_t number = isNatural ? value->get<std::uint64_t>() : 0;
  if (!isNatural || number < aRange.min || number > aRange.max) {
    AddFault(PathOf(aKey), DescribeRange(aRange), Excerpt(*value));
    return std::nullopt;
  }
  return number;
}

} // namespace skylarkwing::core
