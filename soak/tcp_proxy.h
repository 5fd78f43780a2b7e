#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "platform/tests/cut_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::soak {

using platform::tests::CutKind;

/** How a proxy treats its connections. */
enum class ProxyMode
{
  Pass,
  /** Delays all bytes by 150 ms. */
  Delay,
  /** Resets open connections and closes new ones immediately. */
  Reset,
  /** Drops all bytes in both directions; connections stay open. */
  DropAll,
  /** Forwards requests and drops responses. */
  DropResponses,
};

/** Forwards TCP connections to one address and injects network faults. */
class TcpProxy
{
public:
  TcpProxy(boost::asio::io_context& aLoop, core::TimerService& aTimers, std::string aTarget);

  /** @return the "IP:port" on which it listens. */
  std::string Address() const;

  /** Sets the mode of open and new connections. */
  void SetMode(ProxyMode aMode);

  /** Resets all connections and refuses new ones, as the machine of a process that has ended. */
  void Close();

  /** Accepts connections again after Close(). */
  void Reopen();

  /**
   * Cuts the path, or ends the cut. Bytes that a silent cut holds up arrive when it ends, unless
   * their sender has reset the connection.
   */
  void SetCut(CutKind aCut);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::soak
