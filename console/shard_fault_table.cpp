#include "console/shard_fault_table.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::console {

void
ShardFaultTable::Add(core::TimePoint aNow, const ShardFault& aFault)
{
  Rotate(aNow);
  Counts& counts = CountsOf(aFault.place);
  if (aFault.kind == ShardFaultKind::Missing) {
    ++counts.missing;
  } else {
    ++counts.slow;
  }
}

std::vector<ShardFaultCount>
ShardFaultTable::Worst(core::TimePoint aNow)
{
  Rotate(aNow);
  Table sum = mPrevious;
  for (const auto& [place, counts] : mPresent) {
    sum[place].missing += counts.missing;
    sum[place].slow += counts.slow;
  }
  std::vector<ShardFaultCount> faults;
  for (const auto& [place, counts] : sum) {
    faults.push_back({ place, counts.missing, counts.slow });
  }
  KeepWorst(faults, kMaximumPlaces);
  return faults;
}

void
ShardFaultTable::Rotate(core::TimePoint aNow)
{
  const core::Duration age = aNow - mPresentSince;
  if (age < kKeepTime) {
    return;
  }
  mPrevious = age < 2 * kKeepTime ? std::exchange(mPresent, Table()) : Table();
  mPresent.clear();
  mPresentSince = aNow;
}

ShardFaultTable::Counts&
ShardFaultTable::CountsOf(const ShardPlace& aPlace)
{
  const auto known = mPresent.find(aPlace);
  if (known != mPresent.end()) {
    return known->second;
  }
  Counts inherited;
  if (mPresent.size() >= kMaximumPlaces) {
    const auto rarest =
      std::min_element(mPresent.begin(), mPresent.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.Total() < aRight.second.Total();
      });
    inherited = rarest->second;
    mPresent.erase(rarest);
  }
  return mPresent.emplace(aPlace, inherited).first->second;
}

void
KeepWorst(std::vector<ShardFaultCount>& aFaults, std::size_t aBound)
{
  std::stable_sort(aFaults.begin(),
                   aFaults.end(),
                   [](const ShardFaultCount& aLeft, const ShardFaultCount& aRight) {
                     return aLeft.missing + aLeft.slow > aRight.missing + aRight.slow;
                   });
  if (aFaults.size() > aBound) {
    aFaults.resize(aBound);
  }
}

} // namespace skylarkwing::console
