#include "query/safe_fingerprints.h"

namespace skylarkwing::query {

SafeFingerprints::SafeFingerprints(core::TimerService& aTimers,
                                   std::size_t aCapacity,
                                   core::Duration aKeep)
  : mTimers(aTimers)
  , mCapacity(aCapacity)
  , mKeep(aKeep)
{
}

bool
SafeFingerprints::Contains(std::uint64_t aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end()) {
    return false;
  }
  if (it->second->expiresAt <= mTimers.Now()) {
    Remove(aFingerprint);
    return false;
  }
  mOrder.splice(mOrder.begin(), mOrder, it->second);
  return true;
}

void
SafeFingerprints::Add(std::uint64_t aFingerprint)
{
  Remove(aFingerprint);
  mOrder.push_front({ aFingerprint, mTimers.Now() + mKeep });
  mEntries[aFingerprint] = mOrder.begin();
  if (mEntries.size() > mCapacity) {
    mEntries.erase(mOrder.back().fingerprint);
    mOrder.pop_back();
  }
}

void
SafeFingerprints::Remove(std::uint64_t aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end()) {
    return;
  }
  mOrder.erase(it->second);
  mEntries.erase(it);
}

} // namespace skylarkwing::query
