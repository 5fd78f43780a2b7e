#include "query/request_result.h"

#include "core/name_table.h"

namespace skylarkwing::query {

namespace {

constexpr core::NameTable<RequestOutcome, 8> kOutcomeNames{
  { "complete", "partial", "passed", "not_run", "failed", "timed_out", "caller_gone", "forwarded" }
};

} // namespace

std::string_view
NameOf(RequestOutcome aOutcome)
{
  return kOutcomeNames.NameOf(aOutcome);
}

} // namespace skylarkwing::query
