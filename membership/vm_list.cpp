#include "membership/vm_list.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::membership {

namespace {

bool
ReadText(const nlohmann::json& aObject, const char* aKey, std::string& aText)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end() || !it->is_string()) {
    return false;
  }
  aText = it->get<std::string>();
  return !aText.empty();
}

std::optional<VmRecord>
ParseVm(const nlohmann::json& aVm)
{
  if (!aVm.is_object()) {
    return std::nullopt;
  }
  VmRecord record;
  std::string state;
  const bool isWhole =
    ReadText(aVm, "vm", record.vm) && ReadText(aVm, "failureDomain", record.failureDomain) &&
    ReadText(aVm, "region", record.region) &&
    ReadText(aVm, "callerAddress", record.callerAddress) &&
    ReadText(aVm, "peerAddress", record.peerAddress) && ReadText(aVm, "state", state);
  if (!isWhole || (state != "live" && state != "leaving")) {
    return std::nullopt;
  }
  record.isLeaving = state == "leaving";
  return record;
}

} // namespace

std::optional<std::vector<VmRecord>>
ParseVmList(const std::string& aBody)
{
  const auto document = nlohmann::json::parse(aBody, nullptr, false);
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
