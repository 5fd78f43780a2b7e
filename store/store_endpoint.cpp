#include "store/store_endpoint.h"

#include <memory>
#include <utility>
#include <vector>

namespace skylarkwing::store {

namespace {

using Connection = std::shared_ptr<net::TcpHttpConnection>;

/** A pool of idle connections; concurrent calls use one connection each. */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  ConnectionPool(boost::asio::any_io_executor aExecutor, std::string aAddress)
    : mExecutor(std::move(aExecutor))
    , mAddress(std::move(aAddress))
  {
  }

  core::Task<net::HttpResult> Exchange(net::HttpRequest aRequest, core::Duration aTimeout);
  core::Task<StreamReply> OpenStream(net::HttpRequest aRequest, core::Duration aTimeout);

private:
  boost::asio::any_io_executor mExecutor;
  std::string mAddress;
  std::vector<Connection> mIdle;

  core::Task<Connection> Connect(core::Duration aTimeout);
};

core::Task<Connection>
ConnectionPool::Connect(core::Duration aTimeout)
{
  auto connection = std::make_shared<net::TcpHttpConnection>(mExecutor);
  const bool isOpen = co_await connection->Connect(mAddress, aTimeout);
  if (!isOpen) {
    connection.reset();
  }
  co_return connection;
}

core::Task<net::HttpResult>
ConnectionPool::Exchange(net::HttpRequest aRequest, core::Duration aTimeout)
{
  const auto self = shared_from_this();
  net::HttpResult reply;
  reply.error = net::HttpClientError::NothingSent;
  while (!mIdle.empty() && reply.error == net::HttpClientError::NothingSent) {
    const Connection connection = std::move(mIdle.back());
    mIdle.pop_back();
    net::HttpRequest request = aRequest;
    reply = co_await connection->Exchange(std::move(request), aTimeout);
    if (connection->IsOpen()) {
      mIdle.push_back(connection);
    }
  }
  if (reply.error != net::HttpClientError::NothingSent) {
    co_return reply;
  }
  const Connection connection = co_await Connect(aTimeout);
  if (!connection) {
    reply.error = net::HttpClientError::ConnectFailed;
    co_return reply;
  }
  reply = co_await connection->Exchange(std::move(aRequest), aTimeout);
  if (connection->IsOpen()) {
    mIdle.push_back(connection);
  }
  co_return reply;
}

core::Task<std::optional<std::string>>
ReadNext(Connection aConnection, core::Duration aTimeout)
{
  std::optional<std::string> bytes = co_await aConnection->ReadSome(aTimeout);
  co_return bytes;
}

core::Task<StreamReply>
ConnectionPool::OpenStream(net::HttpRequest aRequest, core::Duration aTimeout)
{
  const auto self = shared_from_this();
  StreamReply result;
  const Connection connection = co_await Connect(aTimeout);
  if (!connection) {
    result.reply.error = net::HttpClientError::ConnectFailed;
    co_return result;
  }
  result.reply = co_await connection->OpenStream(std::move(aRequest), aTimeout);
  result.readNext = [connection](core::Duration aReadTimeout) {
    return ReadNext(connection, aReadTimeout);
  };
  co_return result;
}

} // namespace

StoreEndpoint
MakeHttpEndpoint(boost::asio::any_io_executor aExecutor, std::string aAddress)
{
  const auto pool = std::make_shared<ConnectionPool>(std::move(aExecutor), aAddress);
  StoreEndpoint endpoint;
  endpoint.name = std::move(aAddress);
  endpoint.exchange = [pool](net::HttpRequest aRequest, core::Duration aTimeout) {
    return pool->Exchange(std::move(aRequest), aTimeout);
  };
  endpoint.openStream = [pool](net::HttpRequest aRequest, core::Duration aTimeout) {
    return pool->OpenStream(std::move(aRequest), aTimeout);
  };
  return endpoint;
}

} // namespace skylarkwing::store
