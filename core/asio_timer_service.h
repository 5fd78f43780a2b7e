#pragma once

#include "core/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace skylarkwing::core {

/** Timer service of a running process: the monotonic clock and an Asio event loop. */
class AsioTimerService : public TimerService
{
public:
  /** @param aLoop event loop that runs the callbacks; it must outlive this service. */
  explicit AsioTimerService(boost::asio::io_context& aLoop);

  TimePoint Now() const override;
  std::int64_t WallClockMilliseconds() const override;
  TimerId Schedule(Duration aDelay, Callback aCallback) override;
  void Cancel(TimerId aTimer) override;

private:
  boost::asio::io_context& mLoop;
  TimerId mLastId = 0;
  std::unordered_map<TimerId, std::unique_ptr<boost::asio::steady_timer>> mTimers;
};

} // namespace skylarkwing::core
