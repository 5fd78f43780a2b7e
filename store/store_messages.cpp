#include "store/store_messages.h"

#include "core/name_table.h"

namespace skylarkwing::store {

namespace {

constexpr core::NameTable<StoreError, 6> kErrorNames{
  { "none", "unavailable", "outcome_unknown", "refused", "malformed", "budget_spent" }
};
constexpr core::NameTable<CallKind, 6> kKindNames{
  { "range", "txn", "lease_grant", "lease_keepalive", "lease_revoke", "watch" }
};

} // namespace

std::string_view
NameOf(StoreError aError)
{
  return kErrorNames.NameOf(aError);
}

std::string_view
NameOf(CallKind aKind)
{
  return kKindNames.NameOf(aKind);
}

} // namespace skylarkwing::store
