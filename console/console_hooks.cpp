#include "console/console_hooks.h"

#include "core/name_table.h"

namespace skylarkwing::console {

namespace {

constexpr core::NameTable<ChangeVerdict, 4> kVerdictNames{
  { "accepted", "conflict", "refused", "unknown" }
};

} // namespace

std::string_view
NameOf(ChangeVerdict aVerdict)
{
  return kVerdictNames.NameOf(aVerdict);
}

std::optional<ChangeVerdict>
ChangeVerdictOf(std::string_view aName)
{
  return kVerdictNames.ValueOf(aName);
}

} // namespace skylarkwing::console
