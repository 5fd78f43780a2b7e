#pragma once

#include "core/timer_service.h"
#include "query/query_result.h"

#include <string>
#include <string_view>

namespace skylarkwing::caller {

/** Reason why a request of a caller is refused. */
enum class RefusalKind
{
  /** Unknown path or method. */
  NotFound,
  /** The body is not a search, or the request cannot be parsed. */
  Malformed,
  BodyTooLarge,
  UnknownIndex,
  UnknownProfile,
  /** The profile may not query that index. */
  IndexNotAllowed,
  /** The deadline is not a number within the limits of the profile. */
  BadDeadline,
  /** A required request identity is missing, malformed or was never issued. */
  BadIdentity,
  /** The identity was already used for another request. */
  IdentityReused,
  /** The identity is older than the retention of outcomes. */
  IdentityExpired,
  /** The home daemon of the identity is gone or has restarted. */
  HomeLost,
  /** The home daemon of the identity did not answer in time. */
  HomeSilent,
  /** The request ran, but its outcome is no longer stored or not known yet. */
  OutcomeLost,
  /** The run table cannot track another non-idempotent request. */
  RunTableFull,
  /** The daemon has no configuration yet, or is isolated. */
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

std::size_t
RefusalKindCount();

/** @return the HTTP status of a kind. */
unsigned
StatusOf(RefusalKind aKind);

/** @return the kind for a refusal of the query engine. */
RefusalKind
KindOf(query::QueryRefusal aRefusal);

/** A refusal as sent to a caller. */
struct Refusal
{
  RefusalKind kind = RefusalKind::Malformed;
  /** Human-readable. */
  std::string reason;
  query::Executed executed = query::Executed::No;
  /** Delay before a retry; zero if a retry cannot help. */
  core::Duration retryAfter{};
};

} // namespace skylarkwing::caller
