#include "net/request_target.h"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace skylarkwing::net {

namespace {

/** "/" has no meaning in a query. */
constexpr boost::urls::grammar::lut_chars kPlainInQuery = boost::urls::unreserved_chars + '/';

std::string
EncodeForQuery(std::string_view aText)
{
  return boost::urls::encode({ aText.data(), aText.size() }, kPlainInQuery);
}

} // namespace

std::string
PercentEncode(std::string_view aText)
{
  return boost::urls::encode({ aText.data(), aText.size() }, boost::urls::unreserved_chars);
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  const auto encoded = boost::urls::make_pct_string_view({ aText.data(), aText.size() });
  return encoded ? std::optional(encoded->decode()) : std::nullopt;
}

std::string
MakeTarget(std::string_view aPath, const std::vector<QueryParameter>& aParameters)
{
  std::string target(aPath);
  char separator = '?';
  for (const QueryParameter& parameter : aParameters) {
    target += separator + EncodeForQuery(parameter.name) + '=' + EncodeForQuery(parameter.value);
    separator = '&';
  }
  return target;
}

} // namespace skylarkwing::net
