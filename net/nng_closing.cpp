#include "net/nng_closing.h"

#include "core/log.h"

#include <future>
#include <string>
#include <thread>
#include <utility>

namespace skylarkwing::net {

bool
CloseSocket(nng_socket aSocket,
            std::chrono::milliseconds aSettle,
            std::shared_ptr<const void> aContext)
{
  std::promise<void> promise;
  const std::future<void> closed = promise.get_future();
  std::thread([aSocket,
               aSettle,
               context = std::move(aContext),
               promise = std::move(promise)]() mutable {
    std::this_thread::sleep_for(aSettle);
    nng_close(aSocket);
    context.reset();
    promise.set_value();
  }).detach();
  if (closed.wait_for(aSettle + kCloseTimeout) == std::future_status::ready) {
    return true;
  }
  core::LogChange(core::LogLevel::Warning,
                  "net",
                  "socket_close_stuck",
                  { { "waited_ms", std::to_string((aSettle + kCloseTimeout).count()) } });
  return false;
}

} // namespace skylarkwing::net
