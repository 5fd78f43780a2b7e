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

/** Fault in an answer. */
enum class AnswerFault
{
  None,
  /** Does not conform to the protocol. */
  Malformed,
  /** Has a hit of another snapshot, or an unknown snapshot. */
  MixedSnapshots,
  /** The coverage counts a shard with missing hits, or is inconsistent. */
  FalseCoverage,
  /** Has a hit that does not match the search, or a duplicate hit. */
  WrongHits,
};

/** @return the name of a fault, as in reports. */
std::string_view
NameOf(AnswerFault aFault);

/**
 * Reference implementation of a query: searches every shard of one snapshot in turn. Answers are
 * checked against it.
 *
 * Thread-safe: scenarios add snapshots while callers check answers.
 */
class NaiveReference
{
public:
  /** Registers a snapshot of an index. */
  void AddSnapshot(const std::string& aIndex, std::uint64_t aSnapshot, std::uint32_t aShardCount);

  /** @return the number of shards of a snapshot, or nothing when it is unknown. */
  std::optional<std::uint32_t> ShardCount(const std::string& aIndex, std::uint64_t aSnapshot) const;

  /** @return the hits of each shard of a snapshot, as JSON arrays in shard order. */
  std::vector<nlohmann::json> Answer(const std::string& aIndex,
                                     std::uint64_t aSnapshot,
                                     const nlohmann::json& aSearch) const;

  /**
   * Checks an answer to a caller.
   *
   * @param aAnswer the body of a response with status 200.
   * @return the first fault found, or AnswerFault::None.
   */
  AnswerFault Check(const std::string& aIndex,
                    const nlohmann::json& aSearch,
                    const nlohmann::json& aAnswer) const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::map<std::uint64_t, std::uint32_t>> mSnapshots;
};

} // namespace skylarkwing::bench
