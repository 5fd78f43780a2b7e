#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "net/peer_bus.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace skylarkwing::net {

/** Who this daemon is towards other daemons. */
struct PeerIdentity
{
  /** Only daemons of the same cluster take each other's messages. */
  std::string clusterName;
  std::string vm;
  std::string incarnation;
};

/**
 * The peer bus over nng: one PULL socket that listens, and one PUSH socket for each connected VM.
 *
 * PUSH never sends a message again by itself, which keeps the promise of at most once. A socket
 * whose connection broke is replaced, so that nothing queued before reaches a later process.
 */
class NngPeerBus : public PeerBus
{
public:
  /** Decides for each message whether it may leave; lets an experiment cut daemons apart. */
  using SendFilter = std::function<bool(const std::string& aVm)>;

  NngPeerBus(boost::asio::io_context& aLoop,
             core::TimerService& aTimers,
             core::Metrics& aMetrics,
             PeerIdentity aIdentity);
  ~NngPeerBus() override;

  /**
   * Binds the address at which other daemons reach this one.
   *
   * @param aAddress "IP:port".
   * @return false when it cannot be bound; LastError() then says why.
   */
  bool Listen(const std::string& aAddress);

  /** @return why Listen() failed. */
  const std::string& LastError() const { return mLastError; }

  void Connect(const std::string& aVm, const std::string& aAddress) override;
  void Disconnect(const std::string& aVm) override;
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) override;
  void OnMessage(const std::string& aKind, PeerMessageHandler aHandler) override;

  /** Sets the filter on what leaves. */
  void SetSendFilter(SendFilter aFilter);

  /** Closes every socket; nothing is received or sent afterwards. */
  void Close();

private:
  struct State;
  std::shared_ptr<State> mState;
  std::string mLastError;
};

} // namespace skylarkwing::net
