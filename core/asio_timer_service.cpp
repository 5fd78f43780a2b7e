#include "core/asio_timer_service.h"

#include <utility>

namespace skylarkwing::core {

AsioTimerService::AsioTimerService(boost::asio::io_context& aLoop)
  : mLoop(aLoop)
{
}

TimePoint
AsioTimerService::Now() const
{
  return std::chrono::steady_clock::now();
}

std::int64_t
AsioTimerService::WallClockMilliseconds() const
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

TimerId
AsioTimerService::Schedule(Duration aDelay, Callback aCallback)
{
  const TimerId id = ++mLastId;
  auto timer = std::make_unique<boost::asio::steady_timer>(mLoop);
  timer->expires_after(aDelay);
  timer->async_wait(
    [this, id, callback = std::move(aCallback)](const boost::system::error_code& aError) {
      if (aError || mTimers.erase(id) == 0) {
        return;
      }
      callback();
    });
  mTimers.emplace(id, std::move(timer));
  return id;
}

void
AsioTimerService::Cancel(TimerId aTimer)
{
  mTimers.erase(aTimer);
}

} // namespace skylarkwing::core
