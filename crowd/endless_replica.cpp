#include "crowd/endless_replica.h"

#include "net/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace skylarkwing::crowd {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

EndlessReplica::EndlessReplica(asio::io_context& aLoop, std::string aBegin, std::string aRepeated)
  : mAcceptor(aLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  , mBegin(std::move(aBegin))
  , mRepeated(std::move(aRepeated))
{
  core::Start(aLoop.get_executor(), Accept());
}

std::string
EndlessReplica::Address() const
{
  return net::ToString(mAcceptor.local_endpoint());
}

core::Task<void>
EndlessReplica::Accept()
{
  while (true) {
    auto [ec, socket] = co_await mAcceptor.async_accept(kAsTuple);
    if (ec) {
      co_return;
    }
    core::Start(mAcceptor.get_executor(), Serve(std::move(socket)));
  }
}

core::Task<void>
EndlessReplica::Serve(tcp::socket aSocket)
{
  std::string head;
  const auto [readError, length] =
    co_await asio::async_read_until(aSocket, asio::dynamic_buffer(head), "\r\n\r\n", kAsTuple);
  if (readError) {
    co_return;
  }
  ++mRequests;
  const auto [beginError, n] = co_await asio::async_write(aSocket, asio::buffer(mBegin), kAsTuple);
  bool isOpen = !beginError;
  while (isOpen) {
    const auto [ec, written] =
      co_await asio::async_write(aSocket, asio::buffer(mRepeated), kAsTuple);
    isOpen = !ec;
  }
}

} // namespace skylarkwing::crowd
