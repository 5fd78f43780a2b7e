#include "caller/refusal.h"

#include "core/name_table.h"

#include <array>

namespace skylarkwing::caller {

namespace {

constexpr std::size_t kKindCount = 22;

constexpr core::NameTable<RefusalKind, kKindCount> kNames{ {
  "not_found",           "malformed",          "body_too_large", "unknown_index",
  "unknown_profile",     "index_not_allowed",  "bad_deadline",   "bad_identity",
  "identity_reused",     "identity_expired",   "home_lost",      "home_silent",
  "outcome_lost",        "run_table_full",     "not_ready",      "leaving",
  "overloaded",          "deadline_too_close", "no_snapshot",    "unavailable",
  "too_little_coverage", "quarantined",
} };

constexpr std::array<unsigned, kKindCount> kStatuses{
  404, 400, 413, 404, 400, 403, 400, 400, 409, 410, 502,
  504, 502, 503, 503, 503, 503, 504, 503, 503, 503, 422,
};

} // namespace

std::string_view
NameOf(RefusalKind aKind)
{
  return kNames.NameOf(aKind);
}

std::size_t
RefusalKindCount()
{
  return kKindCount;
}

unsigned
StatusOf(RefusalKind aKind)
{
  return kStatuses.at(static_cast<std::size_t>(aKind));
}

RefusalKind
KindOf(query::QueryRefusal aRefusal)
{
  switch (aRefusal) {
    case query::QueryRefusal::NoSnapshot:
      return RefusalKind::NoSnapshot;
    case query::QueryRefusal::DeadlineTooClose:
      return RefusalKind::DeadlineTooClose;
    case query::QueryRefusal::Overloaded:
      return RefusalKind::Overloaded;
    case query::QueryRefusal::TooLittleCoverage:
      return RefusalKind::TooLittleCoverage;
    case query::QueryRefusal::Quarantined:
      return RefusalKind::Quarantined;
    case query::QueryRefusal::None:
    case query::QueryRefusal::Unavailable:
      return RefusalKind::Unavailable;
  }
  return RefusalKind::Unavailable;
}

} // namespace skylarkwing::caller
