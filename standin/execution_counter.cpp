#include "standin/execution_counter.h"

namespace skylarkwing::standin {

std::uint64_t
ExecutionCounter::RecordStart(const std::string& aToken)
{
  const std::scoped_lock lock(mMutex);
  return ++mStarts[aToken];
}

std::uint64_t
ExecutionCounter::Starts(const std::string& aToken) const
{
  const std::scoped_lock lock(mMutex);
  const auto it = mStarts.find(aToken);
  return it == mStarts.end() ? 0 : it->second;
}

} // namespace skylarkwing::standin
