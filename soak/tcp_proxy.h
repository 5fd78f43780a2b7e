#pragma once

#include "core/task.h"
#include "core/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::soak {

/** What a proxy does to the bytes of its connections. */
enum class ProxyMode
{
  Pass,
  /** Bytes arrive late. */
  Delay,
  /** Connections end at once, also those that are open. */
  Reset,
  /** Nothing arrives, in either direction, and nothing ends. */
  Silent,
  /** Requests arrive, answers don't. */
  OneWay,
};

/** Passes TCP connections on to one address and injects faults from outside the programs. */
class TcpProxy
{
public:
  TcpProxy(boost::asio::io_context& aLoop, core::TimerService& aTimers, std::string aTarget);

  /** @return "IP:port" where it listens. */
  std::string Address() const;

  /** Changes what happens from now on. */
  void SetMode(ProxyMode aMode);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::soak
