#include "core/line_budget.h"

#include <utility>

namespace skylarkwing::core {

LineBudget::LineBudget(std::uint32_t aLinesPerSecond)
  : mLinesPerSecond(aLinesPerSecond)
{
}

bool
LineBudget::Take(TimePoint aNow)
{
  if (aNow - mSecond >= std::chrono::seconds{ 1 }) {
    mSecond = aNow;
    mWritten = 0;
  }
  if (mWritten >= mLinesPerSecond) {
    ++mDropped;
    return false;
  }
  ++mWritten;
  return true;
}

std::uint64_t
LineBudget::TakeDropped()
{
  return std::exchange(mDropped, 0);
}

} // namespace skylarkwing::core
