#include "soak/tcp_proxy.h"

#include "net/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace skylarkwing::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr core::Duration kDelay = std::chrono::milliseconds{ 150 };
constexpr std::size_t kBufferBytes = std::size_t{ 16 } * 1024;
constexpr core::Duration kCutPoll = std::chrono::milliseconds{ 5 };

/** Connections that fill an accept queue of length zero, so that further ones hang. */
constexpr std::size_t kQueueFillers = 4;
const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

/** State shared by the tasks of a proxy. */
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
  CutKind cut = CutKind::None;
  bool isClosed = false;
  bool isListening = true;
  std::vector<std::weak_ptr<tcp::socket>> sockets;
  /** Keep the accept queue full during a silent cut. */
  std::vector<tcp::socket> queueFillers;

  void CloseAll()
  {
    for (const std::weak_ptr<tcp::socket>& entry : sockets) {
      if (const auto socket = entry.lock()) {
        boost::system::error_code ec;
        // Linger 0 sends RST instead of FIN, so that bytes in flight are lost.
        socket->set_option(asio::socket_base::linger(true, 0), ec);
        socket->close(ec);
      }
    }
    sockets.clear();
  }

  /** Accepts, refuses or ignores new connections, as the process and the path are now. */
  void UpdateListening()
  {
    queueFillers.clear();
    isListening = !isClosed && cut == CutKind::None;
    if (isClosed || cut == CutKind::Reset || cut == CutKind::RefuseNew) {
      // A socket that is shut down refuses connections, and keeps its port if it doesn't share it.
      ::shutdown(acceptor.native_handle(), SHUT_RD);
      acceptor.set_option(asio::socket_base::reuse_address(false));
      return;
    }
    boost::system::error_code ignored;
    acceptor.cancel(ignored);
    // Its connections that are still open have the same port.
    acceptor.set_option(asio::socket_base::reuse_address(true));
    if (cut == CutKind::Silent) {
      acceptor.listen(0);
      FillQueue();
      return;
    }
    acceptor.listen(asio::socket_base::max_listen_connections);
    core::Start(loop.get_executor(), Accept(shared_from_this()));
  }

  void FillQueue()
  {
    for (std::size_t n = 0; n < kQueueFillers; ++n) {
      tcp::socket& filler = queueFillers.emplace_back(loop);
      filler.async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
  }

  /** Waits for the end of a silent cut. @return whether the sender's bytes still arrive. */
  core::Task<bool> WaitForPath(std::shared_ptr<tcp::socket> aFrom)
  {
    if (cut != CutKind::Silent) {
      co_return true;
    }
    while (cut == CutKind::Silent) {
      co_await core::Sleep(timers, kCutPoll);
    }
    char byte = 0;
    boost::system::error_code ec;
    aFrom->non_blocking(true, ec);
    aFrom->receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    co_return ec != asio::error::connection_reset&& ec != asio::error::bad_descriptor;
  }

  core::Task<void> Accept(std::shared_ptr<State> aSelf)
  {
    while (isListening) {
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
    core::Start(loop.get_executor(), Forward(aSelf, aClient, server, false));
    co_await Forward(aSelf, server, aClient, true);
  }

  core::Task<void> Forward([[maybe_unused]] std::shared_ptr<State> aSelf,
                           std::shared_ptr<tcp::socket> aFrom,
                           std::shared_ptr<tcp::socket> aTo,
                           bool aIsResponse)
  {
    std::array<char, kBufferBytes> buf{};
    while (true) {
      auto room = asio::buffer(buf);
      const auto [ec, n] = co_await aFrom->async_read_some(room, kAsTuple);
      if (ec) {
        break;
      }
      if (mode == ProxyMode::Delay) {
        co_await core::Sleep(timers, kDelay);
      }
      if (!co_await WaitForPath(aFrom)) {
        break;
      }
      if (mode == ProxyMode::DropAll || (mode == ProxyMode::DropResponses && aIsResponse)) {
        continue;
      }
      const auto [writeError, written] =
        co_await asio::async_write(*aTo, asio::buffer(buf.data(), n), kAsTuple);
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
TcpProxy::Close()
{
  mState->isClosed = true;
  mState->UpdateListening();
  mState->CloseAll();
}

void
TcpProxy::Reopen()
{
  mState->isClosed = false;
  mState->UpdateListening();
}

void
TcpProxy::SetCut(CutKind aCut)
{
  mState->cut = aCut;
  mState->UpdateListening();
  if (aCut == CutKind::Reset) {
    mState->CloseAll();
  }
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
