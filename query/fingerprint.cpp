#include "query/fingerprint.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace skylarkwing::query {

namespace {

std::string
CanonicalText(const std::string& aSearch)
{
  const nlohmann::json document = nlohmann::json::parse(aSearch, nullptr, false);
  if (document.is_discarded()) {
    return aSearch;
  }
  // nlohmann::json sorts object members by key. Invalid UTF-8 is replaced instead of throwing.
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::uint64_t
FingerprintOf(const std::string& aIndex, const std::string& aSearch)
{
  const std::string text = aIndex + '\n' + CanonicalText(aSearch);
  return XXH3_64bits(text.data(), text.size());
}

} // namespace skylarkwing::query
