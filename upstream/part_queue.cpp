#include "upstream/part_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace skylarkwing::upstream {

std::size_t
PartQueue::CountAhead(const PartRequest& aRequest) const
{
  const Key key{ aRequest.priority, aRequest.deadline, std::numeric_limits<std::uint64_t>::max() };
  return static_cast<std::size_t>(std::distance(mParts.begin(), mParts.upper_bound(key)));
}

void
PartQueue::Push(PendingPartPtr aPart)
{
  const Key key{ aPart->request.priority, aPart->request.deadline, mNextOrder++ };
  mParts.emplace(key, std::move(aPart));
}

PendingPartPtr
PartQueue::Pop()
{
  PendingPartPtr part = std::move(mParts.begin()->second);
  mParts.erase(mParts.begin());
  return part;
}

PendingPartPtr
PartQueue::EvictBelow(std::uint32_t aPriority)
{
  if (mParts.empty()) {
    return nullptr;
  }
  const auto last = std::prev(mParts.end());
  if (last->first.priority <= aPriority) {
    return nullptr;
  }
  PendingPartPtr part = std::move(last->second);
  mParts.erase(last);
  return part;
}

PendingPartPtr
PartQueue::Remove(const std::string& aPartId)
{
  for (auto it = mParts.begin(); it != mParts.end(); ++it) {
    if (it->second->request.partId == aPartId) {
      PendingPartPtr part = std::move(it->second);
      mParts.erase(it);
      return part;
    }
  }
  return nullptr;
}

std::vector<PendingPartPtr>
PartQueue::TakeAll()
{
  std::vector<PendingPartPtr> parts;
  while (!mParts.empty()) {
    parts.push_back(Pop());
  }
  return parts;
}

std::vector<PendingPartPtr>
PartQueue::TakeTooLate(core::TimePoint aNow, core::Duration aRunTime, std::uint32_t aParallel)
{
  std::vector<PendingPartPtr> late;
  std::uint32_t ahead = 0;
  for (auto it = mParts.begin(); it != mParts.end();) {
    const auto rounds = static_cast<int>(ahead / aParallel) + 1;
    if (aNow + aRunTime * rounds <= it->first.deadline) {
      ++ahead;
      ++it;
      continue;
    }
    late.push_back(std::move(it->second));
    it = mParts.erase(it);
  }
  return late;
}

std::optional<core::TimePoint>
PartQueue::EarliestDeadline() const
{
  std::optional<core::TimePoint> earliest;
  for (const auto& [key, part] : mParts) {
    earliest = std::min(earliest.value_or(key.deadline), key.deadline);
  }
  return earliest;
}

} // namespace skylarkwing::upstream
