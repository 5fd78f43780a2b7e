#include "membership/member.h"

#include "core/name_table.h"

namespace skylarkwing::membership {

namespace {

constexpr core::NameTable<MemberState, 5> kStateNames{
  { "joining", "alive", "suspect", "leaving", "gone" }
};

} // namespace

std::string_view
NameOf(MemberState aState)
{
  return kStateNames.NameOf(aState);
}

} // namespace skylarkwing::membership
