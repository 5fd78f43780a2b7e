#include "net/forwarded_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace skylarkwing::net {

namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders{
  "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te",
  "trailer",    "transfer-encoding", "upgrade",          "content-length"
};

bool
IsConnectionHeader(std::string_view aName)
{
  return std::any_of(kConnectionHeaders.begin(),
                     kConnectionHeaders.end(),
                     [aName](std::string_view aKnown) { return IsSameHeader(aName, aKnown); });
}

/** @return the names that Connection fields list, but for those dropped in any case. */
std::vector<std::string>
NamedByConnection(const std::vector<HttpHeader>& aHeaders)
{
  std::vector<std::string> names;
  for (const HttpHeader& header : aHeaders) {
    if (!IsSameHeader(header.name, "connection")) {
      continue;
    }
    for (const auto& token : boost::beast::http::token_list(header.value)) {
      names.emplace_back(token);
    }
  }
  return names;
}

} // namespace

bool
IsSameHeader(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

std::vector<HttpHeader>
ForwardableHeaders(const std::vector<HttpHeader>& aHeaders)
{
  const std::vector<std::string> named = NamedByConnection(aHeaders);
  std::vector<HttpHeader> kept;
  kept.reserve(aHeaders.size() + 2);
  for (const HttpHeader& header : aHeaders) {
    const bool isNamed =
      std::any_of(named.begin(), named.end(), [&header](const std::string& aName) {
        return IsSameHeader(header.name, aName);
      });
    if (!isNamed && !IsConnectionHeader(header.name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace skylarkwing::net
