#pragma once

#include "core/timer_service.h"
#include "declaration/declaration.h"

#include <cstddef>
#include <memory>
#include <string>

namespace skylarkwing::query {

/** Hits in an answer when the search names no size. */
constexpr std::size_t kDefaultSize = 10;

/** One query, checked and admitted. */
struct QueryRequest
{
  /** Names the query in logs; it plays no part in its fingerprint. */
  std::string requestId;
  std::string index;
  /** How the query is served; never null. */
  std::shared_ptr<const declaration::ProfileDeclaration> profile;
  /** The search, as JSON text. */
  std::string search;
  /** The answer leaves before this time. */
  core::TimePoint deadline;
  /** Most hits in the answer. */
  std::size_t size = kDefaultSize;
};

} // namespace skylarkwing::query
