#pragma once

#include "net/http_message.h"

#include <vector>

namespace skylarkwing::net {

/**
 * @return the header fields that may be passed on: without those that concern one connection only,
 *         those that the Connection field names, and the length, which is set anew.
 */
std::vector<HttpHeader>
ForwardableHeaders(const std::vector<HttpHeader>& aHeaders);

/** @return whether two names of header fields are the same, without regard to case. */
bool
IsSameHeader(std::string_view aLeft, std::string_view aRight);

} // namespace skylarkwing::net
