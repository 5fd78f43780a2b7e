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
  for (const auto& [place, counts] : mCurrent) {
    sum[place].missing += counts.missing;
    sum[place].slow += counts.slow;
  }
  std::vector<ShardFaultCount> faults;
  for (const auto& [place, counts] : sum) {
    faults.push_back({ place, counts.missing, counts.slow });
  }
  KeepWorstFaults(faults, kMaxLocations);
  return faults;
}

void
ShardFaultTable::Rotate(core::TimePoint aNow)
{
  const core::Duration age = aNow - mCurrentSince;
  if (age < kRetentionTime) {
    return;
  }
  mPrevious = age < 2 * kRetentionTime ? std::exchange(mCurrent, Table()) : Table();
  mCurrent.clear();
  mCurrentSince = aNow;
}

ShardFaultTable::Counts&
ShardFaultTable::CountsOf(const ShardLocation& aLocation)
{
  const auto known = mCurrent.find(aLocation);
  if (known != mCurrent.end()) {
    return known->second;
  }
  Counts inherited;
  if (mCurrent.size() >= kMaxLocations) {
    const auto rarest =
      std::min_element(mCurrent.begin(), mCurrent.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.Total() < aRight.second.Total();
      });
    inherited = rarest->second;
    mCurrent.erase(rarest);
  }
  return mCurrent.emplace(aLocation, inherited).first->second;
}

void
KeepWorstFaults(std::vector<ShardFaultCount>& aFaults, std::size_t aBound)
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
