#include "bench/naive_reference.h"

#include "core/name_table.h"
#include "standin/shard_contents.h"

#include <set>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

constexpr core::NameTable<AnswerFault, 5> kFaultNames{
  { "none", "malformed", "mixed_snapshots", "false_coverage", "wrong_hits" }
};

/** The fields of an answer that are checked. */
struct Answer
{
  std::uint64_t snapshot = 0;
  std::uint32_t answered = 0;
  std::uint32_t total = 0;
  std::vector<std::uint32_t> missing;
  bool complete = false;
};

std::optional<Answer>
ParseAnswer(const json& aBody)
{
  try {
    Answer answer;
    answer.snapshot = aBody.at("snapshot").get<std::uint64_t>();
    answer.answered = aBody.at("coverage").at("answered").get<std::uint32_t>();
    answer.total = aBody.at("coverage").at("total").get<std::uint32_t>();
    answer.missing = aBody.at("coverage").at("missing").get<std::vector<std::uint32_t>>();
    answer.complete = aBody.at("complete").get<bool>();
    const bool hasHits = aBody.at("hits").is_array();
    return hasHits ? std::optional(answer) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/** @return whether the coverage is consistent in itself and with the shard count of the snapshot.
 */
bool
IsConsistent(const Answer& aAnswer, std::uint32_t aShardCount)
{
  const std::set<std::uint32_t> missing(aAnswer.missing.begin(), aAnswer.missing.end());
  const bool isUnique = missing.size() == aAnswer.missing.size();
  const bool isInRange = missing.empty() || *missing.rbegin() < aShardCount;
  return isUnique && isInRange && aAnswer.total == aShardCount &&
         aAnswer.answered + missing.size() == aShardCount && aAnswer.complete == missing.empty();
}

/** @return the hits by id, or nothing when an id is duplicate or missing. */
std::optional<std::map<std::string, json>>
HitsById(const json& aHits)
{
  std::map<std::string, json> hits;
  for (const json& hit : aHits) {
    const auto id = hit.is_object() ? hit.find("id") : hit.end();
    if (id == hit.end() || !id->is_string()) {
      return std::nullopt;
    }
    if (!hits.emplace(id->get<std::string>(), hit).second) {
      return std::nullopt;
    }
  }
  return hits;
}

bool
IsSameHit(const json& aLeft, const json& aRight)
{
  return aLeft.value("score", json()) == aRight.value("score", json()) &&
         aLeft.value("fields", json()) == aRight.value("fields", json());
}

} // namespace

std::string_view
NameOf(AnswerFault aFault)
{
  return kFaultNames.NameOf(aFault);
}

void
NaiveReference::AddSnapshot(const std::string& aIndex,
                            std::uint64_t aSnapshot,
                            std::uint32_t aShardCount)
{
  const std::scoped_lock lock(mMutex);
  mSnapshots[aIndex][aSnapshot] = aShardCount;
}

std::optional<std::uint32_t>
NaiveReference::ShardCount(const std::string& aIndex, std::uint64_t aSnapshot) const
{
  const std::scoped_lock lock(mMutex);
  const auto index = mSnapshots.find(aIndex);
  if (index == mSnapshots.end() || !index->second.contains(aSnapshot)) {
    return std::nullopt;
  }
  return index->second.at(aSnapshot);
}

std::vector<json>
NaiveReference::Answer(const std::string& aIndex,
                       std::uint64_t aSnapshot,
                       const json& aSearch) const
{
  std::vector<json> answer;
  const std::uint32_t shardCount = ShardCount(aIndex, aSnapshot).value_or(0);
  for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
    const auto documents = standin::GenerateShard(aIndex, aSnapshot, shard);
    answer.push_back(standin::SearchDocuments(documents, aSearch));
  }
  return answer;
}

AnswerFault
NaiveReference::Check(const std::string& aIndex, const json& aSearch, const json& aAnswer) const
{
  const auto answer = ParseAnswer(aAnswer);
  if (!answer) {
    return AnswerFault::Malformed;
  }
  const auto shardCount = ShardCount(aIndex, answer->snapshot);
  if (!shardCount) {
    return AnswerFault::MixedSnapshots;
  }
  if (!IsConsistent(*answer, *shardCount)) {
    return AnswerFault::FalseCoverage;
  }
  auto hits = HitsById(aAnswer["hits"]);
  if (!hits) {
    return AnswerFault::WrongHits;
  }
  const std::string prefix = aIndex + "/" + std::to_string(answer->snapshot) + "/";
  for (const auto& [id, hit] : *hits) {
    if (!id.starts_with(prefix)) {
      return AnswerFault::MixedSnapshots;
    }
  }
  const std::set<std::uint32_t> missing(answer->missing.begin(), answer->missing.end());
  const std::vector<json> expected = Answer(aIndex, answer->snapshot, aSearch);
  for (std::uint32_t shard = 0; shard < expected.size(); ++shard) {
    for (const json& hit : expected[shard]) {
      const auto it = hits->find(hit["id"].get<std::string>());
      if (it == hits->end() && !missing.contains(shard)) {
        return AnswerFault::FalseCoverage;
      }
      if (it == hits->end()) {
        continue;
      }
      if (!IsSameHit(it->second, hit)) {
        return AnswerFault::WrongHits;
      }
      hits->erase(it);
    }
  }
  return hits->empty() ? AnswerFault::None : AnswerFault::WrongHits;
}

} // namespace skylarkwing::bench
