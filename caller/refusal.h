#pragma once

#include "core/timer_service.h"
#include "query/query_result.h"

#include <string>
#include <string_view>

namespace skylarkwing::caller {

/** Why a caller gets no answer. */
enum class RefusalKind
{
  /** The path or method is not one of the protocol's. */
  NotFound,
  /** The body is not a search, or a header cannot be read. */
  Malformed,
  BodyTooLarge,
  UnknownIndex,
  UnknownProfile,
  /** The profile may not query that index. */
  IndexNotAllowed,
  /** The deadline is not a number within the profile's bounds. */
  BadDeadline,
  /** A request identity is required and is missing or was never handed out. */
  BadIdentity,
  /** The identity was used for another request before. */
  IdentityReused,
  /** The identity is older than outcomes are kept. */
  IdentityExpired,
  /** The daemon that could tell the outcome is gone, or has restarted since. */
  HomeLost,
  /** The daemon that could tell the outcome did not answer in time. */
  HomeSilent,
  /** The request ran, and its outcome is no longer kept or was never learnt. */
  OutcomeLost,
  /** No room to remember another request that must not run twice. */
  RunTableFull,
  /** The daemon has no configuration yet, or is cut off. */
  NotReady,
  Leaving,
  Overloaded,
  DeadlineTooClose,
  NoSnapshot,
  Unavailable,
  TooLittleCoverage,
  Quarantined,
};

/** @return the name of a kind, for messages and metric labels. */
std::string_view
NameOf(RefusalKind aKind);

/** @return how many kinds there are. */
std::size_t
RefusalKindCount();

/** @return the HTTP status of a kind. */
unsigned
StatusOf(RefusalKind aKind);

/** @return the kind that stands for a query engine's refusal. */
RefusalKind
KindOf(query::QueryRefusal aRefusal);

/** One refusal, as a caller reads it. */
struct Refusal
{
  RefusalKind kind = RefusalKind::Malformed;
  /** For people. */
  std::string reason;
  query::Executed executed = query::Executed::No;
  /** When to come back; zero when waiting does not help. */
  core::Duration retryAfter{};
};

} // namespace skylarkwing::caller
