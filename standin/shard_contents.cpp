#include "standin/shard_contents.h"

#include "core/random_source.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace skylarkwing::standin {

namespace {

constexpr std::uint32_t kDocumentsPerShard = 16;

} // namespace

std::string
DocumentKind(std::uint32_t aNumber)
{
  return "kind-" + std::to_string(aNumber % kDocumentKinds);
}

std::vector<Document>
GenerateShard(const std::string& aIndex, std::uint64_t aSnapshot, std::uint32_t aShard)
{
  const std::string prefix =
    aIndex + "/" + std::to_string(aSnapshot) + "/" + std::to_string(aShard) + "/";
  core::RandomSource random(XXH3_64bits(prefix.data(), prefix.size()));
  std::vector<Document> documents;
  documents.reserve(kDocumentsPerShard);
  for (std::uint32_t n = 0; n < kDocumentsPerShard; ++n) {
    Document document;
    document.id = prefix + std::to_string(n);
    document.kind = DocumentKind(static_cast<std::uint32_t>(random.Below(kDocumentKinds)));
    document.score = random.Fraction();
    documents.push_back(std::move(document));
  }
  std::sort(documents.begin(), documents.end(), [](const Document& aLeft, const Document& aRight) {
    return aLeft.score > aRight.score;
  });
  return documents;
}

nlohmann::json
SearchDocuments(const std::vector<Document>& aDocuments, const nlohmann::json& aSearch)
{
  std::string kind;
  if (aSearch.is_object() && aSearch.contains("kind") && aSearch["kind"].is_string()) {
    kind = aSearch["kind"].get<std::string>();
  }
  nlohmann::json hits = nlohmann::json::array();
  for (const Document& document : aDocuments) {
    if (!kind.empty() && document.kind != kind) {
      continue;
    }
    hits.push_back({ { "id", document.id },
                     { "score", document.score },
                     { "fields", { { "kind", document.kind } } } });
  }
  return hits;
}

} // namespace skylarkwing::standin
