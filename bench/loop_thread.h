#pragma once

#include "core/asio_timer_service.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <exception>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace skylarkwing::bench {

/** An event loop and its timer service, on a dedicated thread. */
class LoopThread
{
public:
  /** @param aName thread name, at most 15 characters. */
  explicit LoopThread(const char* aName = "loop");
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;
  ~LoopThread();

  /** @return the loop; other threads access it through Run(). */
  boost::asio::io_context& Loop() { return mParts->loop; }

  /** @return the loop's timer service, for use on the loop. */
  core::TimerService& Timers() { return mParts->timers; }

  /**
   * Runs a function on the loop and waits for its result. An exception in the function terminates
   * the process. Must not be called on the loop's thread, where it would deadlock.
   */
  template<typename Function>
  auto Run(Function aFunction) noexcept -> decltype(aFunction())
  {
    try {
      std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
      auto result = task.get_future();
      boost::asio::post(mParts->loop, [&task] { task(); });
      return result.get();
    } catch (...) {
      std::terminate();
    }
  }

  /** @return the CPU time of the thread; 0 when it cannot be read. */
  std::chrono::nanoseconds CpuTime();

  /** Waits for the running tasks, for a bounded time, and ends the thread. */
  void Stop();

  /** Ends the thread without waiting for its tasks; the loop's memory is never freed. */
  void Abandon();

private:
  struct Parts
  {
    boost::asio::io_context loop{ 1 };
    core::AsioTimerService timers{ loop };
  };

  std::unique_ptr<Parts> mParts;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard;
  std::thread mThread;
};

} // namespace skylarkwing::bench
