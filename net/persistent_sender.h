#pragma once

#include "core/timer_service.h"
#include "net/peer_bus.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace skylarkwing::net {

/**
 * Sends messages that must not be lost only because the way to a VM is not open yet, such as
 * answers to a daemon that has just joined: its own messages arrive before it can be reached.
 *
 * A message is handed over at most once, so the bus's promise of at most once holds.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class PersistentSender
{
public:
  PersistentSender(core::TimerService& aTimers, PeerBus& aBus);

  /**
   * Sends a message now, or as soon as the VM can be reached.
   *
   * @param aPatience how long to go on trying.
   */
  void Send(const std::string& aVm,
            const std::string& aKind,
            nlohmann::json aBody,
            core::Duration aPatience);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::net
