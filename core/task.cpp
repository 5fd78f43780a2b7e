#include "core/task.h"

namespace skylarkwing::core {

Task<void>
AwaitCallback(std::function<void(std::function<void()>)> aStart)
{
  const auto executor = co_await boost::asio::this_coro::executor;
  auto initiate = [executor, start = std::move(aStart)](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    std::function<void()> resume = [executor, handler] {
      boost::asio::post(executor, [handler] { std::move (*handler)(); });
    };
    start(std::move(resume));
  };
  co_await boost::asio::async_initiate<decltype(boost::asio::use_awaitable), void()>(
    std::move(initiate), boost::asio::use_awaitable);
}

Task<void>
Sleep(TimerService& aTimers, Duration aDelay)
{
  std::function<void(std::function<void()>)> start = [&aTimers,
                                                      aDelay](std::function<void()> aResume) {
    aTimers.Schedule(aDelay, std::move(aResume));
  };
  co_await AwaitCallback(std::move(start));
}

} // namespace skylarkwing::core
