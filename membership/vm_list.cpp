#include "membership/vm_list.h"

#include "core/untrusted_json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::membership {

namespace {

bool
ReadString(const nlohmann::json& aObject, const char* aKey, std::string& aString)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end() || !it->is_string()) {
    return false;
  }
  aString = it->get<std::string>();
  return !aString.empty();
}

std::optional<VmRecord>
ParseVm(const nlohmann::json& aVm)
{
  if (!aVm.is_object()) {
    return std::nullopt;
  }
  VmRecord record;
  std::string state;
  const bool isComplete =
    ReadString(aVm, "vm", record.vm) && ReadString(aVm, "failureDomain", record.failureDomain) &&
    ReadString(aVm, "region", record.region) &&
    ReadString(aVm, "callerAddress", record.callerAddress) &&
    ReadString(aVm, "peerAddress", record.peerAddress) && ReadString(aVm, "state", state);
  if (!isComplete || (state != "live" && state != "leaving")) {
    return std::nullopt;
  }
  record.isLeaving = state == "leaving";
  return record;
}

} // namespace

std::optional<std::vector<VmRecord>>
ParseVmList(const std::string& aBody)
{
  const auto document = core::ParseUntrustedJson(aBody);
  if (!document.is_object() || !document.contains("vms") || !document["vms"].is_array()) {
    return std::nullopt;
  }
  std::vector<VmRecord> records;
  for (const auto& vm : document["vms"]) {
    auto record = ParseVm(vm);
    if (!record) {
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

} // namespace skylarkwing::membership
