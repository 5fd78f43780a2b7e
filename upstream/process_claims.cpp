#include "upstream/process_claims.h"

#include <algorithm>
#include <tuple>

namespace skylarkwing::upstream {

bool
IsLikelier(const ProcessClaim& aLeft, const ProcessClaim& aRight)
{
  // A replica goes on announcing itself, so that a copy falls behind.
  const auto rank = [](const ProcessClaim& aClaim) {
    return std::make_tuple(!aClaim.isRefuted, aClaim.isConfirmed, aClaim.sequence);
  };
  const auto left = rank(aLeft);
  const auto right = rank(aRight);
  return left != right ? left > right : aLeft.id < aRight.id;
}

void
ProcessClaims::Add(const AnnouncedReplica& aReplica)
{
  if (aReplica.startedAt == 0) {
    return;
  }
  std::vector<std::string>& ids = mIds[{ aReplica.address, aReplica.startedAt }];
  ids.push_back(aReplica.id);
  mContested += ids.size() == 2 ? 1 : 0;
}

void
ProcessClaims::Remove(const AnnouncedReplica& aReplica)
{
  const auto it = mIds.find({ aReplica.address, aReplica.startedAt });
  if (it == mIds.end()) {
    return;
  }
  const std::size_t before = it->second.size();
  std::erase(it->second, aReplica.id);
  mContested -= before == 2 && it->second.size() == 1 ? 1 : 0;
  if (it->second.empty()) {
    mIds.erase(it);
  }
}

bool
ProcessClaims::IsLikelyCopy(const AnnouncedReplica& aReplica, const ClaimFunction& aClaimOf) const
{
  if (mContested == 0) {
    return false;
  }
  const auto process = mIds.find({ aReplica.address, aReplica.startedAt });
  if (process == mIds.end()) {
    return false;
  }
  std::vector<std::string>& ids = process->second;
  const ProcessClaim claim = aClaimOf(aReplica.id);
  const auto it = std::find_if(ids.begin(), ids.end(), [&](const std::string& aId) {
    return IsLikelier(aClaimOf(aId), claim);
  });
  if (it == ids.end()) {
    return false;
  }
  std::iter_swap(ids.begin(), it);
  return true;
}

} // namespace skylarkwing::upstream
