#include "membership/store_watchers.h"

#include "membership/hash.h"

namespace skylarkwing::membership {

namespace {

std::uint64_t
RankOf(const Member& aMember)
{
  return CombineHashes(HashOf("store-watcher"), HashOf(aMember.vm));
}

} // namespace

bool
IsStoreWatcher(const MemberTable& aTable)
{
  const Member& self = aTable.Self();
  std::size_t before = 0;
  for (const auto& [vm, entry] : aTable.Entries()) {
    const bool isCandidate =
      entry.member.state == MemberState::Alive && entry.member.failureDomain == self.failureDomain;
    before += isCandidate && RankOf(entry.member) < RankOf(self) ? 1 : 0;
  }
  return before < kStoreWatchersPerDomain;
}

} // namespace skylarkwing::membership
