#pragma once

#include "net/http_message.h"

#include <vector>

namespace skylarkwing::net {

/**
 * @return the header fields that a proxy may forward: all but hop-by-hop fields, fields listed in
 *         the Connection field, and Content-Length, which is set again when the message is sent.
 */
std::vector<HttpHeader>
ForwardableHeaders(const std::vector<HttpHeader>& aHeaders);

/** @return whether two header field names are equal, ignoring case. */
bool
IsSameHeader(std::string_view aLeft, std::string_view aRight);

} // namespace skylarkwing::net
