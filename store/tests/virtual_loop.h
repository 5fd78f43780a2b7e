#pragma once

#include "core/task.h"
#include "core/virtual_timer_service.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace skylarkwing::store {

/** Runs coroutines under virtual time, which advances only while every coroutine waits. */
class VirtualLoop
{
public:
  boost::asio::io_context io;
  core::VirtualTimerService timers;

  /** Runs everything that is due within a span, and advances the time to its end. */
  void Run(core::Duration aSpan)
  {
    const core::TimePoint end = timers.Now() + aSpan;
    Settle();
    while (timers.NextDue() && *timers.NextDue() <= end) {
      timers.RunNext();
      Settle();
    }
    timers.Advance(end - timers.Now());
  }

  /** Advances the time without running anything, like a process that is paused and continued. */
  void Pause(core::Duration aSpan) { timers.Advance(aSpan); }

  /** Runs a task to its end, for at most an hour of virtual time. */
  template<typename T>
  T Await(core::Task<T> aTask)
  {
    const auto result = std::make_shared<std::optional<T>>();
    core::Start(io.get_executor(), StoreResult(std::move(aTask), result));
    const core::TimePoint end = timers.Now() + std::chrono::hours{ 1 };
    Settle();
    while (!result->has_value() && timers.NextDue() && *timers.NextDue() <= end) {
      timers.RunNext();
      Settle();
    }
    return std::move(result->value());
  }

  /** Starts a task; the result is set when it has ended. */
  template<typename T>
  std::shared_ptr<std::optional<T>> Begin(core::Task<T> aTask)
  {
    const auto result = std::make_shared<std::optional<T>>();
    core::Start(io.get_executor(), StoreResult(std::move(aTask), result));
    Settle();
    return result;
  }

private:
  void Settle()
  {
    io.restart();
    while (io.poll() > 0) {
    }
  }

  template<typename T>
  static core::Task<void> StoreResult(core::Task<T> aTask,
                                      std::shared_ptr<std::optional<T>> aResult)
  {
    *aResult = co_await std::move(aTask);
  }
};

} // namespace skylarkwing::store
