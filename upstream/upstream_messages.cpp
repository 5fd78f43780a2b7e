#include "upstream/upstream_messages.h"

#include "core/name_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace skylarkwing::upstream {

using nlohmann::json;

namespace {

constexpr core::NameTable<ReplicaState, 7> kStateNames{
  { "unknown", "cold", "warming", "warm", "draining", "out", "gone" }
};
constexpr core::NameTable<PartStatus, 5> kStatusNames{
  { "answered", "not_run", "unknown", "crashed", "quarantined" }
};
constexpr core::NameTable<PartRefusal, 9> kRefusalNames{ { "none",
                                                           "overloaded",
                                                           "deadline_too_close",
                                                           "cold",
                                                           "unavailable",
                                                           "not_owner",
                                                           "wrong_snapshot",
                                                           "connection_lost",
                                                           "cancelled" } };

template<typename Enum, std::size_t N>
Enum
ReadName(const core::NameTable<Enum, N>& aTable, const json& aJson, Enum aOtherwise)
{
  return aTable.ValueOf(aJson.get_ref<const std::string&>()).value_or(aOtherwise);
}

/** @return the index of a text in a list; it is appended if it is missing. */
std::size_t
IndexOf(std::vector<std::string>& aTexts, const std::string& aText)
{
  const auto it = std::find(aTexts.begin(), aTexts.end(), aText);
  if (it != aTexts.end()) {
    return static_cast<std::size_t>(it - aTexts.begin());
  }
  aTexts.push_back(aText);
  return aTexts.size() - 1;
}

json
PackPart(const PartRequest& aPart, std::size_t aSearch, core::TimePoint aNow)
{
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(aPart.deadline - aNow);
  json packed{ { "id", aPart.partId },
               { "index", aPart.index },
               { "shard", aPart.shard },
               { "snapshot", aPart.snapshot },
               { "replica", aPart.replica },
               { "search", aSearch },
               { "idempotent", aPart.isIdempotent },
               { "priority", aPart.priority },
               { "leftUs", left.count() },
               { "fingerprint", aPart.fingerprint },
               { "canary", aPart.isCanary } };
  if (!aPart.crashedReplicas.empty()) {
    packed["crashed"] = aPart.crashedReplicas;
  }
  return packed;
}

PartRequest
UnpackPart(const json& aPacked, const json& aSearches, core::TimePoint aNow, core::Duration aAge)
{
  PartRequest part;
  part.partId = aPacked.at("id").get<std::string>();
  part.index = aPacked.at("index").get<std::string>();
  part.shard = aPacked.at("shard").get<std::uint32_t>();
  part.snapshot = aPacked.at("snapshot").get<std::uint64_t>();
  part.replica = aPacked.at("replica").get<std::string>();
  part.search = aSearches.at(aPacked.at("search").get<std::size_t>()).get<std::string>();
  part.isIdempotent = aPacked.at("idempotent").get<bool>();
  part.priority = aPacked.at("priority").get<std::uint32_t>();
  part.deadline =
    aNow + std::chrono::microseconds{ aPacked.at("leftUs").get<std::int64_t>() } - aAge;
  part.fingerprint = aPacked.at("fingerprint").get<std::uint64_t>();
  part.isCanary = aPacked.at("canary").get<bool>();
  part.crashedReplicas = aPacked.value("crashed", std::vector<std::string>{});
  return part;
}

} // namespace

std::string_view
NameOf(ReplicaState aState)
{
  return kStateNames.NameOf(aState);
}

std::string_view
NameOf(PartStatus aStatus)
{
  return kStatusNames.NameOf(aStatus);
}

std::string_view
NameOf(PartRefusal aRefusal)
{
  return kRefusalNames.NameOf(aRefusal);
}

void
to_json(json& aJson, const SnapshotHolding& aHolding)
{
  aJson = { { "snapshot", aHolding.snapshot },
            { "shardCount", aHolding.shardCount },
            { "shards", aHolding.shards } };
}

void
from_json(const json& aJson, SnapshotHolding& aHolding)
{
  aHolding.snapshot = aJson.at("snapshot").get<std::uint64_t>();
  aHolding.shardCount = aJson.at("shardCount").get<std::uint32_t>();
  aHolding.shards = aJson.at("shards").get<std::vector<std::uint32_t>>();
}

void
to_json(json& aJson, const ReplicaStatus& aStatus)
{
  aJson = { { "replica", aStatus.replica },       { "index", aStatus.index },
            { "service", aStatus.service },       { "failureDomain", aStatus.failureDomain },
            { "owner", aStatus.owner },           { "incarnation", aStatus.incarnation },
            { "state", NameOf(aStatus.state) },   { "holdings", aStatus.holdings },
            { "allowance", aStatus.allowance },   { "inFlight", aStatus.inFlight },
            { "queued", aStatus.queued },         { "medianUs", aStatus.medianMicroseconds },
            { "p95Us", aStatus.p95Microseconds }, { "p99Us", aStatus.p99Microseconds } };
}

void
from_json(const json& aJson, ReplicaStatus& aStatus)
{
  aStatus.replica = aJson.at("replica").get<std::string>();
  aStatus.index = aJson.at("index").get<std::string>();
  aStatus.service = aJson.at("service").get<std::string>();
  aStatus.failureDomain = aJson.at("failureDomain").get<std::string>();
  aStatus.owner = aJson.at("owner").get<std::string>();
  aStatus.incarnation = aJson.at("incarnation").get<std::string>();
  aStatus.state = ReadName(kStateNames, aJson.at("state"), ReplicaState::Unknown);
  aStatus.holdings = aJson.at("holdings").get<std::vector<SnapshotHolding>>();
  aStatus.allowance = aJson.at("allowance").get<std::uint32_t>();
  aStatus.inFlight = aJson.at("inFlight").get<std::uint32_t>();
  aStatus.queued = aJson.at("queued").get<std::uint32_t>();
  aStatus.medianMicroseconds = aJson.at("medianUs").get<std::uint32_t>();
  aStatus.p95Microseconds = aJson.at("p95Us").get<std::uint32_t>();
  aStatus.p99Microseconds = aJson.at("p99Us").get<std::uint32_t>();
}

void
to_json(json& aJson, const Hit& aHit)
{
  aJson = json::array({ aHit.id, aHit.score, aHit.fields });
}

void
from_json(const json& aJson, Hit& aHit)
{
  aHit.id = aJson.at(0).get<std::string>();
  aHit.score = aJson.at(1).get<double>();
  aHit.fields = aJson.at(2).get<std::string>();
}

void
to_json(json& aJson, const PartAnswer& aAnswer)
{
  aJson = { { "id", aAnswer.partId },
            { "status", NameOf(aAnswer.status) },
            { "refusal", NameOf(aAnswer.refusal) },
            { "snapshot", aAnswer.snapshot },
            { "shard", aAnswer.shard },
            { "complete", aAnswer.isComplete },
            { "hits", aAnswer.hits } };
  if (!aAnswer.crashedReplicas.empty()) {
    aJson["crashed"] = aAnswer.crashedReplicas;
  }
}

void
from_json(const json& aJson, PartAnswer& aAnswer)
{
  aAnswer.partId = aJson.at("id").get<std::string>();
  aAnswer.status = ReadName(kStatusNames, aJson.at("status"), PartStatus::Unknown);
  aAnswer.refusal = ReadName(kRefusalNames, aJson.at("refusal"), PartRefusal::ConnectionLost);
  aAnswer.snapshot = aJson.at("snapshot").get<std::uint64_t>();
  aAnswer.shard = aJson.at("shard").get<std::uint32_t>();
  aAnswer.isComplete = aJson.at("complete").get<bool>();
  aAnswer.hits = aJson.at("hits").get<std::vector<Hit>>();
  aAnswer.crashedReplicas = aJson.value("crashed", std::vector<std::string>{});
}

json
PackParts(const std::vector<PartRequest>& aParts, core::TimePoint aNow)
{
  std::vector<std::string> searches;
  json parts = json::array();
  for (const PartRequest& part : aParts) {
    parts.push_back(PackPart(part, IndexOf(searches, part.search), aNow));
  }
  return { { "searches", std::move(searches) }, { "parts", std::move(parts) } };
}

std::vector<PartRequest>
UnpackParts(const json& aMessage, core::TimePoint aNow, core::Duration aAge)
{
  const json& searches = aMessage.at("searches");
  std::vector<PartRequest> parts;
  for (const json& packed : aMessage.at("parts")) {
    parts.push_back(UnpackPart(packed, searches, aNow, aAge));
  }
  return parts;
}

} // namespace skylarkwing::upstream
