#pragma once

#include "core/timer_service.h"

#include <boost/asio/any_completion_handler.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace skylarkwing::core {

/** Coroutine that runs on an event loop. */
template<typename T>
using Task = boost::asio::awaitable<T>;

/**
 * Suspends the calling task until a callback is called. The task resumes on its own event loop.
 *
 * @param aStart receives the callback and must call it exactly once, immediately or later.
 */
Task<void>
AwaitCallback(std::function<void(std::function<void()>)> aStart);

/** Suspends the calling task for a duration of the timer service's clock. */
Task<void>
Sleep(TimerService& aTimers, Duration aDelay);

/**
 * Starts a detached task. An exception that escapes it terminates the process, because it has no
 * caller that could handle the exception.
 */
template<typename Executor>
void
Start(const Executor& aExecutor, Task<void> aTask)
{
  boost::asio::co_spawn(aExecutor, std::move(aTask), [](std::exception_ptr aError) {
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
}

/**
 * Queue from callbacks to one task: callbacks push items, the task waits for the next one.
 *
 * Not thread-safe: both sides run on the same event loop. Only one task may wait at a time. The
 * mailbox must be held by a shared pointer when callbacks can outlive the task.
 */
template<typename T>
class Mailbox
{
public:
  explicit Mailbox(TimerService& aTimers)
    : mTimers(aTimers)
  {
  }

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  ~Mailbox() { mTimers.Cancel(mTimer); }

  /** Adds an item and wakes the waiting task. */
  void Push(T aItem)
  {
    mItems.push_back(std::move(aItem));
    Wake();
  }

  /** @return the next item, or nothing if the queue is empty. */
  std::optional<T> Poll()
  {
    if (mItems.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(mItems.front()));
    mItems.pop_front();
    return item;
  }

  /**
   * Waits for the next item.
   *
   * @param aDeadline when to stop waiting, by the timer service's clock.
   * @return the item, or nothing when the deadline passed first.
   */
  Task<std::optional<T>> Receive(TimePoint aDeadline)
  {
    if (mItems.empty() && mTimers.Now() < aDeadline) {
      std::function<void(std::function<void()>)> start = [this,
                                                          aDeadline](std::function<void()> aWake) {
        mWake = std::move(aWake);
        mTimer = mTimers.Schedule(aDeadline - mTimers.Now(), [this] {
          mTimer = 0;
          Wake();
        });
      };
      co_await AwaitCallback(std::move(start));
    }
    co_return Poll();
  }

private:
  void Wake()
  {
    mTimers.Cancel(mTimer);
    mTimer = 0;
    if (!mWake) {
      return;
    }
    const std::function<void()> wake = std::exchange(mWake, nullptr);
    wake();
  }

  TimerService& mTimers;
  TimerId mTimer = 0;
  std::deque<T> mItems;
  std::function<void()> mWake;
};

} // namespace skylarkwing::core
