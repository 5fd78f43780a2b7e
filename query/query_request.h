#pragma once

#include "core/timer_service.h"
#include "declaration/declaration.h"

#include <cstddef>
#include <memory>
#include <string>

namespace skylarkwing::query {

/** Maximum number of hits in an answer when the search gives no size. */
constexpr std::size_t kDefaultSize = 10;

/** A validated and admitted query. */
struct QueryRequest
{
  /** Identifies the query in logs; not part of its fingerprint. */
  std::string requestId;
  std::string index;
  /** Never null. */
  std::shared_ptr<const declaration::ProfileDeclaration> profile;
  /** The search, as JSON text. */
  std::string search;
  /** The query ends before this time. */
  core::TimePoint deadline;
  /** Maximum number of hits in the answer. */
  std::size_t size = kDefaultSize;
};

} // namespace skylarkwing::query
