#pragma once

#include "core/timer_service.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace skylarkwing::net {

/** Sender and age of a message between daemons. */
struct PeerMessageOrigin
{
  std::string vm;
  std::string incarnation;
  /**
   * How much longer the message took than the fastest one from the same incarnation, which is the
   * time it spent in queues or waiting for a paused process. Receivers subtract it from relative
   * deadlines.
   */
  core::Duration age{};
};

/** Handles one message. */
using PeerMessageHandler =
  std::function<void(const PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)>;

/**
 * One-way messages between daemons, delivered at most once. A message may be lost; a reply is a
 * message of its own. Not thread-safe: one instance belongs to one event loop.
 */
class PeerBus
{
public:
  PeerBus() = default;
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;
  virtual ~PeerBus() = default;

  /** Connects to the daemon of a VM. Has no effect if it is connected to the same address. */
  virtual void Connect(const std::string& aVm, const std::string& aAddress) = 0;

  /** Disconnects from the daemon of a VM and drops the messages queued for it. */
  virtual void Disconnect(const std::string& aVm) = 0;

  /**
   * Sends a message.
   *
   * @param aVm the receiving VM, see Connect().
   * @param aKind type of the message, such as "heartbeat".
   * @param aBody content of the message.
   * @return false when the message was certainly not sent; true does not guarantee delivery.
   */
  virtual bool Send(const std::string& aVm,
                    std::string_view aKind,
                    const nlohmann::json& aBody) = 0;

  /** Sets the handler for one type of message. */
  virtual void OnMessage(const std::string& aKind, PeerMessageHandler aHandler) = 0;
};

} // namespace skylarkwing::net
