#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** One document of a generated shard. */
struct Document
{
  /** "index/snapshot/shard/number": says where it came from, so that a wrong hit is recognised. */
  std::string id;
  /** What searches ask for, "kind-0" to "kind-7". */
  std::string kind;
  double score = 0.0;
};

/** How many kinds of documents there are. */
inline constexpr std::uint32_t kDocumentKinds = 8;

/** @return the kind of that number, for searches. */
std::string
DocumentKind(std::uint32_t aNumber);

/**
 * The documents of one shard, the same on every call, so that all replicas of a shard agree and the
 * right answer can be worked out again.
 */
std::vector<Document>
GenerateShard(const std::string& aIndex, std::uint64_t aSnapshot, std::uint32_t aShard);

/**
 * Searches a shard.
 *
 * @param aDocuments the shard.
 * @param aSearch a JSON object; "kind" chooses the documents, all of them when it is absent.
 * @return the hits as a JSON array, in order of falling score.
 */
nlohmann::json
SearchDocuments(const std::vector<Document>& aDocuments, const nlohmann::json& aSearch);

} // namespace skylarkwing::standin
