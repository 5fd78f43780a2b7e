#include "membership/fact_table.h"

#include "membership/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::membership {

namespace {

constexpr std::size_t kFactFields = 4;

std::size_t
SizeOf(const nlohmann::json& aFact)
{
  return nlohmann::json::to_msgpack(aFact).size();
}

std::optional<std::string>
ReplicaNameOf(const nlohmann::json& aFact)
{
  if (!aFact.is_object()) {
    return std::nullopt;
  }
  const auto it = aFact.find("replica");
  if (it == aFact.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

} // namespace

FactTable::FactTable(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

std::optional<nlohmann::json>
FactTable::Publish(const nlohmann::json& aFact)
{
  const auto replica = ReplicaNameOf(aFact);
  if (!replica) {
    return std::nullopt;
  }
  FactEntry& entry = mEntries[*replica];
  if (entry.isOwn && entry.fact == aFact) {
    return std::nullopt;
  }
  nlohmann::json previous = std::move(entry.fact);
  entry.owner = mSelf;
  entry.isOwn = true;
  ++entry.version;
  entry.fact = aFact;
  entry.bytes = SizeOf(aFact);
  return previous;
}

bool
FactTable::Merge(NamedFact aFact)
{
  const auto it = mEntries.find(aFact.replica);
  if (it != mEntries.end()) {
    const std::pair known(it->second.version, it->second.owner);
    const std::pair received(aFact.entry.version, aFact.entry.owner);
    if (received <= known) {
      return false;
    }
  }
  aFact.entry.bytes = SizeOf(aFact.entry.fact);
  aFact.entry.isOwn = false;
  mEntries[aFact.replica] = std::move(aFact.entry);
  return true;
}

const FactEntry*
FactTable::Find(const std::string& aReplica) const
{
  const auto it = mEntries.find(aReplica);
  return it != mEntries.end() ? &it->second : nullptr;
}

Digest
FactTable::Summarize() const
{
  Digest digest;
  for (const auto& [replica, entry] : mEntries) {
    digest.Add(replica, CombineHashes(HashOf(entry.owner), entry.version));
  }
  return digest;
}

std::vector<NamedFact>
FactTable::EntriesIn(const std::vector<std::size_t>& aBuckets, std::size_t aMaxBytes) const
{
  std::vector<NamedFact> facts;
  std::size_t bytes = 0;
  for (const auto& [replica, entry] : mEntries) {
    const std::size_t bucket = Digest::BucketOf(replica);
    if (std::find(aBuckets.begin(), aBuckets.end(), bucket) == aBuckets.end()) {
      continue;
    }
    bytes += entry.bytes;
    if (bytes > aMaxBytes && !facts.empty()) {
      break;
    }
    facts.push_back({ replica, entry });
  }
  return facts;
}

std::vector<nlohmann::json>
FactTable::FactsOf(const std::string& aOwner) const
{
  std::vector<nlohmann::json> facts;
  for (const auto& [replica, entry] : mEntries) {
    if (entry.owner == aOwner) {
      facts.push_back(entry.fact);
    }
  }
  return facts;
}

nlohmann::json
FactsToJson(const std::vector<NamedFact>& aFacts)
{
  auto json = nlohmann::json::array();
  for (const auto& fact : aFacts) {
    json.push_back({ fact.replica, fact.entry.owner, fact.entry.version, fact.entry.fact });
  }
  return json;
}

std::vector<NamedFact>
FactsFromJson(const nlohmann::json& aJson)
{
  std::vector<NamedFact> facts;
  if (!aJson.is_array()) {
    return facts;
  }
  for (const auto& json : aJson) {
    const bool isValid = json.is_array() && json.size() == kFactFields && json[0].is_string() &&
                         json[1].is_string() && json[2].is_number_unsigned();
    if (!isValid) {
      continue;
    }
    NamedFact fact;
    fact.replica = json[0].get<std::string>();
    fact.entry.owner = json[1].get<std::string>();
    fact.entry.version = json[2].get<std::uint64_t>();
    fact.entry.fact = json[3];
    facts.push_back(std::move(fact));
  }
  return facts;
}

} // namespace skylarkwing::membership
