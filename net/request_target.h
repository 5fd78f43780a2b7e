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

/** @return the text for use as a path segment: all but the unreserved characters are encoded. */
std::string
PercentEncode(std::string_view aText);

/** @return the text that was encoded, nothing when an escape is invalid. */
std::optional<std::string>
PercentDecode(std::string_view aText);

/**
 * Encodes everything in parameters but the unreserved characters of RFC 3986 and "/", so that
 * readers agree on the text whether or not they take "+" for a blank, as HTML forms do.
 *
 * @return the target of a request; HttpRequest::QueryValue() reads the parameters.
 */
std::string
MakeTarget(std::string_view aPath, const std::vector<QueryParameter>& aParameters);

} // namespace skylarkwing::net
