#include "net/socket_watch.h"

#include "core/timer_service.h"
#include "net/socket_queues.h"

#include <utility>

namespace skylarkwing::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr core::Duration kPollInterval = std::chrono::milliseconds{ 100 };

} // namespace

SocketWatch::SocketWatch(std::shared_ptr<beast::tcp_stream> aStream, UnreadHandler aOnUnread)
  : mStream(std::move(aStream))
  , mOnUnread(std::move(aOnUnread))
  , mTimer(mStream->get_executor())
{
}

void
SocketWatch::Start()
{
  mStream->socket().async_wait(
    asio::socket_base::wait_read,
    [self = shared_from_this()](const beast::error_code& aError) { self->OnReadable(aError); });
}

void
SocketWatch::Stop()
{
  mIsStopped = true;
  mTimer.cancel();
  beast::error_code ec;
  mStream->socket().cancel(ec);
}

void
SocketWatch::Interrupt()
{
  if (!mIsStopped) {
    SetDisconnected();
  }
}

void
SocketWatch::OnReadable(const beast::error_code& aError)
{
  if (aError || mIsStopped) {
    return;
  }
  char byte = 0;
  beast::error_code ec;
  auto& socket = mStream->socket();
  // The bytes that made it readable may have been read before, and receive() would block for
  // good.
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  if (ec && ec != asio::error::would_block) {
    SetDisconnected();
    return;
  }
  // Received bytes belong to a pipelined request, which is read after the response.
  Poll();
}

void
SocketWatch::Poll()
{
  if (mIsStopped || !mStream->socket().is_open()) {
    return;
  }
  if (IsClosedByPeer(mStream->socket())) {
    SetDisconnected();
    return;
  }
  mOnUnread(UnreadBytes(mStream->socket()));
  mTimer.expires_after(kPollInterval);
  mTimer.async_wait([self = shared_from_this()](const beast::error_code& aError) {
    if (!aError) {
      self->Poll();
    }
  });
}

} // namespace skylarkwing::net
