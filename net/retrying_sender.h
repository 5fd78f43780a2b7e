#pragma once

#include "core/timer_service.h"
#include "net/peer_bus.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace skylarkwing::net {

/**
 * Sends messages to VMs whose connection may not be established yet, and retries until the bus
 * accepts them. Needed for replies to a daemon that has just joined: its messages arrive before it
 * can be reached.
 *
 * The bus accepts a message only once, so delivery stays at most once.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class RetryingSender
{
public:
  RetryingSender(core::TimerService& aTimers, PeerBus& aBus);

  /**
   * Sends a message as soon as the VM can be reached.
   *
   * @param aTimeout how long to retry.
   */
  void Send(const std::string& aVm,
            const std::string& aKind,
            nlohmann::json aBody,
            core::Duration aTimeout);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::net
