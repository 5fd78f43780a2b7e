#include "soak/tcp_proxy.h"

#include "net/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace skylarkwing::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr core::Duration kDelay = std::chrono::milliseconds{ 150 };
constexpr std::size_t kPieceBytes = std::size_t{ 16 } * 1024;
const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

/** What the tasks of a proxy share. */
struct TcpProxy::State : std::enable_shared_from_this<TcpProxy::State>
{
  State(asio::io_context& aLoop, core::TimerService& aTimers, std::string aTarget)
    : loop(aLoop)
    , timers(aTimers)
    , target(std::move(aTarget))
    , acceptor(aLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
  }

  asio::io_context& loop;
  core::TimerService& timers;
  std::string target;
  tcp::acceptor acceptor;
  ProxyMode mode = ProxyMode::Pass;
  std::vector<std::weak_ptr<tcp::socket>> sockets;

  void CloseAll()
  {
    for (const std::weak_ptr<tcp::socket>& entry : sockets) {
      if (const auto socket = entry.lock()) {
        boost::system::error_code ec;
        // A reset, not an end: what is in flight is lost.
        socket->set_option(asio::socket_base::linger(true, 0), ec);
        socket->close(ec);
      }
    }
    sockets.clear();
  }

  core::Task<void> Accept(std::shared_ptr<State> aSelf)
  {
    while (acceptor.is_open()) {
      auto [ec, socket] = co_await acceptor.async_accept(kAsTuple);
      if (ec) {
        co_return;
      }
      if (mode != ProxyMode::Reset) {
        core::Start(loop.get_executor(),
                    Serve(aSelf, std::make_shared<tcp::socket>(std::move(socket))));
      }
    }
  }

  core::Task<void> Serve(std::shared_ptr<State> aSelf, std::shared_ptr<tcp::socket> aClient)
  {
    auto server = std::make_shared<tcp::socket>(loop);
    const auto [ec] = co_await server->async_connect(net::ParseEndpoint(target).value(), kAsTuple);
    if (ec) {
      co_return;
    }
    sockets.push_back(aClient);
    sockets.push_back(server);
    core::Start(loop.get_executor(), Pump(aSelf, aClient, server, false));
    co_await Pump(aSelf, server, aClient, true);
  }

  core::Task<void> Pump([[maybe_unused]] std::shared_ptr<State> aSelf,
                        std::shared_ptr<tcp::socket> aFrom,
                        std::shared_ptr<tcp::socket> aTo,
                        bool aIsAnswer)
  {
    std::array<char, kPieceBytes> piece{};
    while (true) {
      auto room = asio::buffer(piece);
      const auto [ec, n] = co_await aFrom->async_read_some(room, kAsTuple);
      if (ec) {
        break;
      }
      if (mode == ProxyMode::Delay) {
        co_await core::Sleep(timers, kDelay);
      }
      if (mode == ProxyMode::Silent || (mode == ProxyMode::OneWay && aIsAnswer)) {
        continue;
      }
      const auto [writeError, written] =
        co_await asio::async_write(*aTo, asio::buffer(piece.data(), n), kAsTuple);
      if (writeError) {
        break;
      }
    }
    boost::system::error_code ignored;
    aTo->shutdown(tcp::socket::shutdown_send, ignored);
  }
};

TcpProxy::TcpProxy(asio::io_context& aLoop, core::TimerService& aTimers, std::string aTarget)
  : mState(std::make_shared<State>(aLoop, aTimers, std::move(aTarget)))
{
  core::Start(aLoop.get_executor(), mState->Accept(mState));
}

std::string
TcpProxy::Address() const
{
  return net::ToString(mState->acceptor.local_endpoint());
}

void
TcpProxy::SetMode(ProxyMode aMode)
{
  mState->mode = aMode;
  if (aMode == ProxyMode::Reset) {
    mState->CloseAll();
  }
}

} // namespace skylarkwing::soak
