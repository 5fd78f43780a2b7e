#include "core/virtual_timer_service.h"

#include <algorithm>

namespace skylarkwing::core {

namespace {

constexpr std::int64_t kVirtualEpochMilliseconds = 1'750'000'000'000;

} // namespace

std::int64_t
VirtualTimerService::WallClockMilliseconds() const
{
  const auto sinceStart =
    std::chrono::duration_cast<std::chrono::milliseconds>(mNow.time_since_epoch());
  return kVirtualEpochMilliseconds + sinceStart.count();
}

TimerId
VirtualTimerService::Schedule(Duration aDelay, Callback aCallback)
{
  const TimePoint due = mNow + std::max(aDelay, Duration::zero());
  const TimerId id = ++mLastId;
  mCallbacks.emplace(Key{ due, id }, std::move(aCallback));
  mDueTimes.emplace(id, due);
  return id;
}

void
VirtualTimerService::Cancel(TimerId aTimer)
{
  const auto it = mDueTimes.find(aTimer);
  if (it == mDueTimes.end()) {
    return;
  }
  mCallbacks.erase(Key{ it->second, aTimer });
  mDueTimes.erase(it);
}

std::optional<TimePoint>
VirtualTimerService::NextDue() const
{
  if (mCallbacks.empty()) {
    return std::nullopt;
  }
  return mCallbacks.begin()->first.first;
}

bool
VirtualTimerService::RunNext()
{
  if (mCallbacks.empty()) {
    return false;
  }
  const auto first = mCallbacks.begin();
  mNow = std::max(mNow, first->first.first);
  mDueTimes.erase(first->first.second);
  const Callback callback = std::move(first->second);
  mCallbacks.erase(first);
  callback();
  return true;
}

void
VirtualTimerService::Advance(Duration aDuration)
{
  const TimePoint end = mNow + aDuration;
  while (!mCallbacks.empty() && mCallbacks.begin()->first.first <= end) {
    RunNext();
  }
  mNow = std::max(mNow, end);
}

} // namespace skylarkwing::core
