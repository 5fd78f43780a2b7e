#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** One document of a generated shard. */
struct Document
{
  /** "index/snapshot/shard/number"; identifies the source, so that tests can detect wrong hits. */
  std::string id;
  /** Value that searches filter by, "kind-0" to "kind-7". */
  std::string kind;
  double score = 0.0;
};

/** Number of document kinds. */
inline constexpr std::uint32_t kDocumentKinds = 8;

/** @return the name of a document kind; numbers beyond the last kind wrap around. */
std::string
DocumentKind(std::uint32_t aNumber);

/**
 * Generates the documents of one shard. The result is deterministic, so that all replicas of a
 * shard agree and tests can compute the expected response.
 */
std::vector<Document>
GenerateShard(const std::string& aIndex, std::uint64_t aSnapshot, std::uint32_t aShard);

/**
 * Searches a shard.
 *
 * @param aDocuments the shard.
 * @param aSearch a JSON object; "kind" filters the documents; without it, all of them match.
 * @return the hits as a JSON array, in descending order of score.
 */
nlohmann::json
SearchDocuments(const std::vector<Document>& aDocuments, const nlohmann::json& aSearch);

} // namespace skylarkwing::standin
