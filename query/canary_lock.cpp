#include "query/canary_lock.h"

#include <utility>

namespace skylarkwing::query {

CanaryLock::CanaryLock(core::TimerService& aTimers)
  : mTimers(aTimers)
{
}

std::shared_ptr<CanaryLock::Waiter>
CanaryLock::Acquire(std::uint64_t aFingerprint)
{
  const auto [it, isAcquired] = mWaiters.try_emplace(aFingerprint);
  if (isAcquired) {
    return nullptr;
  }
  it->second.push_back(std::make_shared<Waiter>(mTimers));
  return it->second.back();
}

void
CanaryLock::Release(std::uint64_t aFingerprint, const CrashedReplicas& aCrashed)
{
  const auto it = mWaiters.find(aFingerprint);
  if (it == mWaiters.end()) {
    return;
  }
  const auto waiters = std::move(it->second);
  mWaiters.erase(it);
  for (const std::shared_ptr<Waiter>& waiter : waiters) {
    waiter->Push(aCrashed);
  }
}

} // namespace skylarkwing::query
