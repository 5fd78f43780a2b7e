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

/** A coroutine that runs on an event loop. */
template<typename T>
using Task = boost::asio::awaitable<T>;

/**
 * Suspends the calling task until a callback is called, on the task's own event loop.
 *
 * @param aStart receives the callback; it must call it exactly once, at once or later.
 */
Task<void>
AwaitCallback(std::function<void(std::function<void()>)> aStart);

/** Suspends the calling task for a span of the timer service's time. */
Task<void>
Sleep(TimerService& aTimers, Duration aDelay);

/**
 * Starts a task that nobody waits for. An exception that leaves it ends the process, because no
 * layer above it can turn it into an error of its own.
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
 * A queue between callbacks and one task: callbacks push, the task waits for the next item.
 *
 * Not thread-safe: both sides run on one event loop. Only one task may wait at a time. The task
 * must hold the mailbox by a shared pointer when callbacks can outlive it.
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

  /** @return the next item if there is one, without waiting. */
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
   * @param aUntil when to give up, in the timer service's time.
   * @return the item, or nothing when the time came first.
   */
  Task<std::optional<T>> Receive(TimePoint aUntil)
  {
    if (mItems.empty() && mTimers.Now() < aUntil) {
      std::function<void(std::function<void()>)> start = [this,
                                                          aUntil](std::function<void()> aWake) {
        mWake = std::move(aWake);
        mTimer = mTimers.Schedule(aUntil - mTimers.Now(), [this] {
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
