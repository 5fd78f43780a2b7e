#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::bench {

/** What is wrong with an answer. */
enum class AnswerFault
{
  None,
  /** Not what the protocol says. */
  Malformed,
  /** A hit of another snapshot, or a snapshot that never was. */
  MixedSnapshots,
  /** The coverage counts a shard whose hits are not all there, or contradicts itself. */
  FalseCoverage,
  /** A hit that the search does not have, or has twice. */
  WrongHits,
};

/** @return the name of a fault, for reports. */
std::string_view
NameOf(AnswerFault aFault);

/**
 * The naive version of a query: asks every shard of one snapshot in turn. Answers are checked
 * against it.
 *
 * Thread-safe, because scenarios add snapshots while callers check answers.
 */
class NaiveReference
{
public:
  /** Says that a snapshot of an index exists. */
  void AddSnapshot(const std::string& aIndex, std::uint64_t aSnapshot, std::uint32_t aShardCount);

  /** @return how many shards a snapshot has, or nothing when it never was. */
  std::optional<std::uint32_t> ShardCount(const std::string& aIndex, std::uint64_t aSnapshot) const;

  /** @return the hits of each shard of a snapshot, as JSON arrays in the order of the shards. */
  std::vector<nlohmann::json> Answer(const std::string& aIndex,
                                     std::uint64_t aSnapshot,
                                     const nlohmann::json& aSearch) const;

  /**
   * Checks an answer to a caller.
   *
   * @param aAnswer the body of a response with status 200.
   * @return what is wrong with it.
   */
  AnswerFault Check(const std::string& aIndex,
                    const nlohmann::json& aSearch,
                    const nlohmann::json& aAnswer) const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::map<std::uint64_t, std::uint32_t>> mSnapshots;
};

} // namespace skylarkwing::bench
