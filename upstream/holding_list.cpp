#include "upstream/holding_list.h"

#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr std::chrono::seconds kDenialTtl{ 5 };

} // namespace

bool
HoldingList::Update(std::vector<SnapshotHolding> aHoldings, core::TimePoint aNow)
{
  std::erase_if(mDeniedUntil, [aNow](const auto& aItem) { return aItem.second <= aNow; });
  std::erase_if(aHoldings, [this](const SnapshotHolding& aHolding) {
    return mDeniedUntil.contains(aHolding.snapshot);
  });
  if (aHoldings == mHoldings) {
    return false;
  }
  mHoldings = std::move(aHoldings);
  return true;
}

void
HoldingList::Deny(std::uint64_t aSnapshot, core::TimePoint aNow)
{
  mDeniedUntil[aSnapshot] = aNow + kDenialTtl;
  std::erase_if(mHoldings, [aSnapshot](const SnapshotHolding& aHolding) {
    return aHolding.snapshot == aSnapshot;
  });
}

bool
HoldingList::IsDenied(std::uint64_t aSnapshot, core::TimePoint aNow) const
{
  const auto it = mDeniedUntil.find(aSnapshot);
  return it != mDeniedUntil.end() && aNow < it->second;
}

} // namespace skylarkwing::upstream
