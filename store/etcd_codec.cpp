#include "store/etcd_codec.h"

#include "core/untrusted_json.h"
#include "store/base64.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace skylarkwing::store {

namespace {

using nlohmann::json;

/** @return the first key after all keys with a prefix; etcd's `range_end` is exclusive. */
std::string
PrefixRangeEnd(std::string aPrefix)
{
  while (!aPrefix.empty() && aPrefix.back() == '\xff') {
    aPrefix.pop_back();
  }
  if (!aPrefix.empty()) {
    aPrefix.back() = static_cast<char>(aPrefix.back() + 1);
  }
  return aPrefix;
}

json
ToJson(const Compare& aCompare)
{
  const bool isCreate = aCompare.target == CompareTarget::CreateRevision;
  return { { "key", EncodeBase64(aCompare.key) },
           { "target", isCreate ? "CREATE" : "MOD" },
           { "result", "EQUAL" },
           { isCreate ? "create_revision" : "mod_revision", std::to_string(aCompare.revision) } };
}

json
ToJson(const Put& aPut)
{
  json put{ { "key", EncodeBase64(aPut.key) }, { "value", EncodeBase64(aPut.value) } };
  if (aPut.lease != 0) {
    put["lease"] = std::to_string(aPut.lease);
  }
  return { { "request_put", std::move(put) } };
}

/** The gateway omits fields with default values, so that a missing member reads as null. */
const json&
GetMember(const json& aObject, const char* aName)
{
  static const json kNull;
  if (!aObject.is_object()) {
    return kNull;
  }
  const auto it = aObject.find(aName);
  return it == aObject.end() ? kNull : *it;
}

/** The gateway writes 64-bit integers as strings, since some JSON readers lose digits. */
std::int64_t
GetInteger(const json& aObject, const char* aName)
{
  const json& member = GetMember(aObject, aName);
  if (member.is_number_integer()) {
    return member.get<std::int64_t>();
  }
  if (!member.is_string()) {
    return 0;
  }
  const auto& text = member.get_ref<const std::string&>();
  std::int64_t number = 0;
  const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc{} ? number : 0;
}

bool
GetBool(const json& aObject, const char* aName)
{
  const json& member = GetMember(aObject, aName);
  return member.is_boolean() && member.get<bool>();
}

std::optional<std::string>
GetBytes(const json& aObject, const char* aName)
{
  const json& member = GetMember(aObject, aName);
  if (member.is_null()) {
    return std::string();
  }
  if (!member.is_string()) {
    return std::nullopt;
  }
  return DecodeBase64(member.get_ref<const std::string&>());
}

std::optional<KeyValue>
DecodeKeyValue(const json& aObject)
{
  std::optional<std::string> key = GetBytes(aObject, "key");
  std::optional<std::string> value = GetBytes(aObject, "value");
  if (!key || key->empty() || !value) {
    return std::nullopt;
  }
  KeyValue result;
  result.key = std::move(*key);
  result.value = std::move(*value);
  result.createRevision = GetInteger(aObject, "create_revision");
  result.modRevision = GetInteger(aObject, "mod_revision");
  result.lease = GetInteger(aObject, "lease");
  return result;
}

bool
DecodeKeyValues(const json& aRange, std::vector<KeyValue>& aValues)
{
  for (const json& item : GetMember(aRange, "kvs")) {
    std::optional<KeyValue> value = DecodeKeyValue(item);
    if (!value) {
      return false;
    }
    aValues.push_back(std::move(*value));
  }
  return true;
}

/** Every answer of a working store has a header with its revision. */
std::optional<Revision>
DecodeHeaderRevision(const json& aBody)
{
  const Revision revision = GetInteger(GetMember(aBody, "header"), "revision");
  return revision > 0 ? std::optional<Revision>(revision) : std::nullopt;
}

ClusterId
DecodeCluster(const json& aBody)
{
  const json& cluster = GetMember(GetMember(aBody, "header"), "cluster_id");
  return cluster.is_string() ? cluster.get<std::string>() : std::string();
}

json
ParseJson(std::string_view aText)
{
  return core::ParseUntrustedJson(aText);
}

std::optional<LeaseResult>
DecodeLease(const json& aObject)
{
  LeaseResult result;
  result.lease = GetInteger(aObject, "ID");
  result.timeToLive = std::chrono::seconds{ GetInteger(aObject, "TTL") };
  if (result.lease == 0) {
    return std::nullopt;
  }
  return result;
}

} // namespace

std::string
EncodeRange(const RangeRequest& aRequest)
{
  json body{ { "key", EncodeBase64(aRequest.key) } };
  if (aRequest.isPrefix) {
    body["range_end"] = EncodeBase64(PrefixRangeEnd(aRequest.key));
  }
  if (aRequest.isKeysOnly) {
    body["keys_only"] = true;
  }
  return body.dump();
}

std::string
EncodeTransaction(const Transaction& aTransaction)
{
  json body{ { "compare", json::array() },
             { "success", json::array() },
             { "failure", json::array() } };
  for (const Compare& condition : aTransaction.conditions) {
    body["compare"].push_back(ToJson(condition));
  }
  for (const Put& put : aTransaction.puts) {
    body["success"].push_back(ToJson(put));
  }
  for (const std::string& key : aTransaction.deletes) {
    body["success"].push_back({ { "request_delete_range", { { "key", EncodeBase64(key) } } } });
  }
  for (const std::string& key : aTransaction.readsOnFailure) {
    body["failure"].push_back({ { "request_range", { { "key", EncodeBase64(key) } } } });
  }
  return body.dump();
}

std::string
EncodeLeaseGrant(std::chrono::seconds aTimeToLive)
{
  const json body{ { "TTL", std::to_string(aTimeToLive.count()) } };
  return body.dump();
}

std::string
EncodeLease(LeaseId aLease)
{
  const json body{ { "ID", std::to_string(aLease) } };
  return body.dump();
}

std::string
EncodeWatch(const std::string& aKey, Revision aStart)
{
  const json request{ { "key", EncodeBase64(aKey) }, { "start_revision", std::to_string(aStart) } };
  const json body{ { "create_request", request } };
  return body.dump();
}

std::optional<RangeResult>
DecodeRange(std::string_view aBody)
{
  const json body = ParseJson(aBody);
  const std::optional<Revision> revision = DecodeHeaderRevision(body);
  RangeResult result;
  if (!revision || !DecodeKeyValues(body, result.values)) {
    return std::nullopt;
  }
  result.revision = *revision;
  result.cluster = DecodeCluster(body);
  return result;
}

std::optional<TransactionResult>
DecodeTransaction(std::string_view aBody)
{
  const json body = ParseJson(aBody);
  const std::optional<Revision> revision = DecodeHeaderRevision(body);
  if (!revision) {
    return std::nullopt;
  }
  TransactionResult result;
  result.revision = *revision;
  result.hasSucceeded = GetBool(body, "succeeded");
  for (const json& response : GetMember(body, "responses")) {
    if (!DecodeKeyValues(GetMember(response, "response_range"), result.values)) {
      return std::nullopt;
    }
  }
  return result;
}

std::optional<LeaseResult>
DecodeLeaseGrant(std::string_view aBody)
{
  return DecodeLease(ParseJson(aBody));
}

std::optional<LeaseResult>
DecodeLeaseKeepAlive(std::string_view aBody)
{
  return DecodeLease(GetMember(ParseJson(aBody), "result"));
}

std::optional<WatchMessage>
DecodeWatch(std::string_view aLine)
{
  const json body = ParseJson(aLine);
  const json& result = GetMember(body, "result");
  if (!GetMember(result, "header").is_object()) {
    return std::nullopt;
  }
  WatchMessage message;
  message.revision = DecodeHeaderRevision(result).value_or(0);
  message.cluster = DecodeCluster(result);
  message.isCanceled = GetBool(result, "canceled");
  message.compactRevision = GetInteger(result, "compact_revision");
  for (const json& event : GetMember(result, "events")) {
    std::optional<KeyValue> value = DecodeKeyValue(GetMember(event, "kv"));
    if (!value) {
      return std::nullopt;
    }
    message.values.push_back(std::move(*value));
  }
  return message;
}

} // namespace skylarkwing::store
