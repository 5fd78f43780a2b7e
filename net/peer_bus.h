#pragma once

#include "core/timer_service.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace skylarkwing::net {

/** Where a message between daemons came from. */
struct PeerMessageOrigin
{
  std::string vm;
  std::string incarnation;
  /**
   * How much longer the message took than the fastest from the same incarnation: the time that it
   * waited in a queue or for a paused process. A receiver takes it off a relative deadline.
   */
  core::Duration age{};
};

/** Handles the body of one message. */
using PeerMessageHandler =
  std::function<void(const PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)>;

/**
 * One-way messages between daemons. A message arrives at most once and may be lost; whoever needs
 * an answer sends one back. Not thread-safe: one instance belongs to one event loop.
 */
class PeerBus
{
public:
  PeerBus() = default;
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;
  virtual ~PeerBus() = default;

  /** Makes a VM's daemon reachable. Connecting again with the same address changes nothing. */
  virtual void Connect(const std::string& aVm, const std::string& aAddress) = 0;

  /** Forgets a VM's daemon and drops what is still queued for it. */
  virtual void Disconnect(const std::string& aVm) = 0;

  /**
   * Sends a message.
   *
   * @param aVm the VM to send to, connected before.
   * @param aKind the kind of message, such as "heartbeat".
   * @param aBody the message.
   * @return false when it was certainly not sent; true promises nothing.
   */
  virtual bool Send(const std::string& aVm,
                    std::string_view aKind,
                    const nlohmann::json& aBody) = 0;

  /** Sets the handler of one kind of message. */
  virtual void OnMessage(const std::string& aKind, PeerMessageHandler aHandler) = 0;
};

} // namespace skylarkwing::net
