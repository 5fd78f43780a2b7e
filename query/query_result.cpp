#include "query/query_result.h"

#include "core/name_table.h"

namespace skylarkwing::query {

namespace {

constexpr core::NameTable<QueryRefusal, 7> kRefusalNames{ { "none",
                                                            "no_snapshot",
                                                            "deadline_too_close",
                                                            "overloaded",
                                                            "unavailable",
                                                            "too_little_coverage",
                                                            "quarantined" } };
constexpr core::NameTable<Executed, 2> kExecutedNames{ { "no", "unknown" } };

} // namespace

std::string_view
NameOf(QueryRefusal aRefusal)
{
  return kRefusalNames.NameOf(aRefusal);
}

std::string_view
NameOf(Executed aExecuted)
{
  return kExecutedNames.NameOf(aExecuted);
}

} // namespace skylarkwing::query
