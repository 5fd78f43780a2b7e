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

/** An event loop with its timer service on a thread of its own. */
class LoopThread
{
public:
  /** @param aName what a profiler calls the thread, 15 letters at most. */
  explicit LoopThread(const char* aName = "loop");
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;
  ~LoopThread();

  /** @return the loop; only Run() may use it from other threads. */
  boost::asio::io_context& Loop() { return mParts->loop; }

  /** @return the loop's timer service, for use on the loop. */
  core::TimerService& Timers() { return mParts->timers; }

  /**
   * Runs a function on the loop and waits for its result. An exception of the function ends the
   * process. Not to be called on the loop.
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

  /** @return the processor time that the thread has used. */
  std::chrono::nanoseconds CpuTime();

  /** Lets the loop finish what runs, for a bounded time, and ends the thread. */
  void Stop();

  /** Ends the thread at once, as the loss of its VM does; the loop's memory is never freed. */
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
