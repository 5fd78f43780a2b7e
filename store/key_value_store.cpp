#include "store/key_value_store.h"

#include "core/name_table.h"

namespace skylarkwing::store {

namespace {

constexpr core::NameTable<StoreStatus, 6> kStatusNames{
  { "done", "refused", "unknown", "history_lost", "absent", "garbled" }
};

} // namespace

std::string_view
NameOf(StoreStatus aStatus)
{
  return kStatusNames.NameOf(aStatus);
}

} // namespace skylarkwing::store
