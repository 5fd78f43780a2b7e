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

/** A query of a caller, validated against the configuration. */
struct CallerQuery
{
  std::string index;
  std::shared_ptr<const declaration::ProfileDeclaration> profile;
  /** The search, as JSON text. */
  std::string search;
  std::size_t size = 0;
  /** Time from arrival to the caller's deadline. */
  std::chrono::milliseconds timeout{};
  /** Set when the profile is not idempotent. */
  std::optional<RequestIdentity> identity;

  /** @return a hash of the content, to detect different requests with the same identity. */
  std::uint64_t ContentHash() const;
};

/** A query, or the reason why the request was rejected. */
struct ParsedQuery
{
  std::optional<CallerQuery> query;
  Refusal refusal;
};

/**
 * Parses an HTTP request to `/v1/query/<index>`.
 *
 * @param aRequest untrusted input.
 * @param aConfiguration the active configuration; never null.
 */
ParsedQuery
ParseQuery(const net::HttpRequest& aRequest,
           const std::shared_ptr<const declaration::Configuration>& aConfiguration);

} // namespace skylarkwing::caller
