#include "query/canary_lock.h"

#include <utility>

namespace skylarkwing::query {

CanaryLock::CanaryLock(core::TimerService& aTimers)
  : mTimers(aTimers)
{
}

std::shared_ptr<CanaryLock::Waiter>
CanaryLock::Enter(std::uint64_t aFingerprint)
{
  const auto [it, isFree] = mPlaces.try_emplace(aFingerprint);
  if (isFree) {
    return nullptr;
  }
  it->second.push_back(std::make_shared<Waiter>(mTimers));
  return it->second.back();
}

void
CanaryLock::Leave(std::uint64_t aFingerprint, const Crashed& aCrashed)
{
  const auto it = mPlaces.find(aFingerprint);
  if (it == mPlaces.end()) {
    return;
  }
  const auto waiters = std::move(it->second);
  mPlaces.erase(it);
  for (const std::shared_ptr<Waiter>& waiter : waiters) {
    waiter->Push(aCrashed);
  }
}

} // namespace skylarkwing::query
