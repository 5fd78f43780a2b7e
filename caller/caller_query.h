#pragma once

#include "caller/refusal.h"
#include "caller/request_identity.h"
#include "declaration/declaration.h"
#include "net/http_message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::caller {

/** One query as a caller sent it, checked against the configuration. */
struct CallerQuery
{
  std::string index;
  std::shared_ptr<const declaration::ProfileDeclaration> profile;
  /** The search, as JSON text. */
  std::string search;
  std::size_t size = 0;
  /** Time that the caller waits. */
  std::chrono::milliseconds timeout{};
  /** Set when the profile is not idempotent. */
  std::optional<RequestIdentity> identity;

  /** @return a hash of what is asked, to tell two requests with one identity apart. */
  std::uint64_t ContentHash() const;
};

/** A query, or why it is none. */
struct ParsedQuery
{
  std::optional<CallerQuery> query;
  Refusal refusal;
};

/**
 * Reads a query from an HTTP request to `/v1/query/<index>`.
 *
 * @param aRequest any bytes that a caller may send; nothing in it is trusted.
 * @param aConfiguration what is in force; never null.
 */
ParsedQuery
ParseQuery(const net::HttpRequest& aRequest,
           const std::shared_ptr<const declaration::Configuration>& aConfiguration);

} // namespace skylarkwing::caller
