#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "net/peer_bus.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace skylarkwing::net {

/** Identity of this daemon in the messages that it sends to other daemons. */
struct PeerIdentity
{
  /** Messages of daemons of another cluster are dropped. */
  std::string clusterName;
  std::string vm;
  std::string incarnation;
};

/**
 * PeerBus over nng: one listening PULL socket, and one PUSH socket for each connected VM.
 *
 * PUSH never resends a message, which gives at-most-once delivery. A socket whose connection was
 * lost is replaced, so that messages queued for it do not reach a process started later.
 */
class NngPeerBus : public PeerBus
{
public:
  /** @return whether a message may be sent; experiments use it to simulate network partitions. */
  using SendFilter = std::function<bool(const std::string& aVm)>;

  NngPeerBus(boost::asio::io_context& aLoop,
             core::TimerService& aTimers,
             core::Metrics& aMetrics,
             PeerIdentity aIdentity);
  ~NngPeerBus() override;

  /**
   * Binds the address on which other daemons reach this one.
   *
   * @param aAddress "IP:port".
   * @return false when the address cannot be bound; see LastError().
   */
  bool Listen(const std::string& aAddress);

  /** @return why Listen() failed. */
  const std::string& LastError() const { return mLastError; }

  void Connect(const std::string& aVm, const std::string& aAddress) override;
  void Disconnect(const std::string& aVm) override;
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) override;
  void OnMessage(const std::string& aKind, PeerMessageHandler aHandler) override;

  /** Sets the filter for outgoing messages. */
  void SetSendFilter(SendFilter aFilter);

  /** Closes all sockets; nothing is sent or received afterwards. */
  void Close();

private:
  struct State;
  std::shared_ptr<State> mState;
  std::string mLastError;
};

} // namespace skylarkwing::net
