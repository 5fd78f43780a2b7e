#include "core/untrusted_json.h"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace skylarkwing::core {

namespace {

using nlohmann::json;

/** The deepest documents, configurations, have six levels. */
constexpr std::size_t kMaxDepth = 32;

bool
IsNestedTooDeeply(std::string_view aText)
{
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    const char c = aText[n];
    if (isInString && c == '\\') {
      ++n;
    } else if (c == '"') {
      isInString = !isInString;
    } else if (!isInString && (c == '[' || c == '{')) {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if (!isInString && (c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

} // namespace

json
ParseUntrustedJson(std::string_view aText)
{
  return IsNestedTooDeeply(aText) ? json(json::value_t::discarded)
                                  : json::parse(aText, nullptr, false);
}

} // namespace skylarkwing::core
