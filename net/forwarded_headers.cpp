#include "net/forwarded_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace skylarkwing::net {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
  "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te",
  "trailer",    "transfer-encoding", "upgrade",          "content-length"
};

bool
IsHopByHopHeader(std::string_view aName)
{
  return std::any_of(kHopByHopHeaders.begin(),
                     kHopByHopHeaders.end(),
                     [aName](std::string_view aKnown) { return IsSameHeader(aName, aKnown); });
}

/** @return the names listed in Connection fields. */
std::vector<std::string>
ConnectionOptions(const std::vector<HttpHeader>& aHeaders)
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
  const std::vector<std::string> options = ConnectionOptions(aHeaders);
  std::vector<HttpHeader> forwarded;
  forwarded.reserve(aHeaders.size() + 2);
  for (const HttpHeader& header : aHeaders) {
    const bool isOption =
      std::any_of(options.begin(), options.end(), [&header](const std::string& aName) {
        return IsSameHeader(header.name, aName);
      });
    if (!isOption && !IsHopByHopHeader(header.name)) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

} // namespace skylarkwing::net
