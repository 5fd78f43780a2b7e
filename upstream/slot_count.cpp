#include "upstream/slot_count.h"

#include <algorithm>

namespace skylarkwing::upstream {

void
SlotCount::KeepUntil(core::TimePoint aUntil, core::TimePoint aNow)
{
  std::erase_if(mLost, [aNow](core::TimePoint aEnd) { return aEnd <= aNow; });
  mLost.push_back(aUntil);
}

std::uint32_t
SlotCount::Taken(core::TimePoint aNow) const
{
  const auto n =
    std::count_if(mLost.begin(), mLost.end(), [aNow](core::TimePoint aEnd) { return aNow < aEnd; });
  return mRunning + static_cast<std::uint32_t>(n);
}

} // namespace skylarkwing::upstream
