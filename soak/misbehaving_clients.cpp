#include "soak/misbehaving_clients.h"

#include "net/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <utility>

namespace skylarkwing::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/** No route matches it. */
const std::string kTarget = "/crowd/ HTTP/1.1\r\nHost: soak\r\n";
constexpr std::size_t kMaxClients = 120;
constexpr std::size_t kRequests = 300;
constexpr std::size_t kUnfinishedBytes = std::size_t{ 60 } * 1000;
constexpr std::size_t kFields = 1500;
constexpr int kReceiveBufferBytes = 4096;
constexpr std::uint64_t kMaxPauseMs = 800;
constexpr std::uint64_t kMinStayMs = 200;
constexpr std::uint64_t kMaxStayMs = 3000;

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string result;
  for (std::size_t n = 0; n < aCount; ++n) {
    result += aText;
  }
  return result;
}

} // namespace

MisbehavingClients::MisbehavingClients(asio::io_context& aLoop,
                                       core::TimerService& aTimers,
                                       std::uint64_t aSeed,
                                       MisbehavingClientHooks aHooks)
  : mLoop(aLoop)
  , mTimers(aTimers)
  , mRandom(aSeed)
  , mHooks(std::move(aHooks))
{
}

std::string
MisbehavingClients::ChooseBytes()
{
  constexpr std::uint64_t kKinds = 6;
  const std::string chunked = "POST " + kTarget + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string get = "GET " + kTarget + "\r\n";
  switch (mRandom.Below(kKinds)) {
    case 0:
      return chunked + "ffff\r\n" + std::string(kUnfinishedBytes, 'b');
    case 1:
      return chunked + Repeat("1\r\nb\r\n", kUnfinishedBytes / 6);
    case 2:
      return "GET " + kTarget + "Padding: ";
    case 3:
      return "POST " + kTarget + "Content-Length: 9\r\n" + Repeat("a:b\r\n", kFields) + "\r\n";
    case 4:
      return Repeat(get, kRequests);
    default:
      return {};
  }
}

core::Task<void>
MisbehavingClients::Run(core::TimePoint aEnd)
{
  while (mTimers.Now() < aEnd) {
    const std::string address = mHooks.addressOf(mRandom.Below(mHooks.daemonCount()));
    const auto bytes = std::make_shared<const std::string>(ChooseBytes());
    const std::size_t clients = 1 + mRandom.Below(kMaxClients);
    const milliseconds stay(kMinStayMs + mRandom.Below(kMaxStayMs));
    const bool isReset = mRandom.Below(2) == 0;
    mCount += clients;
    for (std::size_t n = 0; n < clients; ++n) {
      core::Start(mLoop.get_executor(), RunClient(address, bytes, stay, isReset));
    }
    co_await core::Sleep(mTimers, milliseconds(mRandom.Below(kMaxPauseMs)));
  }
}

core::Task<void>
MisbehavingClients::RunClient(std::string aAddress,
                              std::shared_ptr<const std::string> aBytes,
                              core::Duration aStay,
                              bool aIsReset)
{
  const auto endpoint = net::ParseEndpoint(aAddress);
  const auto socket = std::make_shared<tcp::socket>(mLoop);
  // Also ends a write that the daemon doesn't read.
  mTimers.Schedule(aStay, [socket, aIsReset] {
    boost::system::error_code ignored;
    if (aIsReset) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket->close(ignored);
  });
  boost::system::error_code ec;
  socket->open(endpoint->protocol(), ec);
  socket->set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  const auto [connectError] = co_await socket->async_connect(*endpoint, kAsTuple);
  if (!connectError) {
    co_await asio::async_write(*socket, asio::buffer(*aBytes), kAsTuple);
  }
}

} // namespace skylarkwing::soak
