#include "net/nng_socket_close.h"

#include "core/log.h"

#include <future>
#include <string>
#include <thread>
#include <utility>

namespace skylarkwing::net {

bool
CloseSocket(nng_socket aSocket,
            std::chrono::milliseconds aDelay,
            std::shared_ptr<const void> aContext)
{
  std::promise<void> promise;
  const std::future<void> closed = promise.get_future();
  std::thread([aSocket,
               aDelay,
               context = std::move(aContext),
               promise = std::move(promise)]() mutable {
    std::this_thread::sleep_for(aDelay);
    nng_close(aSocket);
    context.reset();
    promise.set_value();
  }).detach();
  if (closed.wait_for(aDelay + kCloseTimeout) == std::future_status::ready) {
    return true;
  }
  core::LogEvent(core::LogLevel::Warning,
                 "net",
                 "socket_close_stuck",
                 { { "waited_ms", std::to_string((aDelay + kCloseTimeout).count()) } });
  return false;
}

} // namespace skylarkwing::net
