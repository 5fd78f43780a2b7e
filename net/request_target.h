#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::net {

/** One parameter of a query string. */
struct QueryParameter
{
  std::string name;
  /** Any bytes. */
  std::string value;
};

/**
 * Encodes everything but the unreserved characters of RFC 3986, so that readers agree on the text
 * whether or not they take "+" for a blank, as HTML forms do.
 *
 * @return the text for use in a path segment or a query string.
 */
std::string
PercentEncode(std::string_view aText);

/** @return the text that was encoded, nothing when an escape is invalid. */
std::optional<std::string>
PercentDecode(std::string_view aText);

/** @return the target of a request; HttpRequest::QueryValue() reads the parameters. */
std::string
MakeTarget(std::string_view aPath, const std::vector<QueryParameter>& aParameters);

} // namespace skylarkwing::net
