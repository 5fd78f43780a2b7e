#pragma once

#include "core/asio_timer_service.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** Event loop and HTTP clients for the tests of a stand-in. */
class Loopback
{
public:
  boost::asio::io_context loop;
  core::AsioTimerService timers{ loop };

  Loopback() = default;
  Loopback(const Loopback&) = delete;
  Loopback& operator=(const Loopback&) = delete;

  /** Lets cancelled tasks finish before the timer service is destroyed. */
  ~Loopback()
  {
    while (loop.poll() > 0) {
    }
  }

  /** @return a new client connection. */
  std::shared_ptr<net::TcpHttpConnection> NewConnection()
  {
    return std::make_shared<net::TcpHttpConnection>(loop.get_executor());
  }

  /** Starts a POST, or a GET if the body is empty; appends the reply to aReplies. */
  void Post(std::shared_ptr<net::TcpHttpConnection> aConnection,
            std::string aAddress,
            std::string aTarget,
            std::string aBody,
            std::shared_ptr<std::vector<net::HttpResult>> aReplies)
  {
    core::Start(loop.get_executor(),
                Exchange(std::move(aConnection),
                         std::move(aAddress),
                         std::move(aTarget),
                         std::move(aBody),
                         std::move(aReplies)));
  }

  /** Sends one request on a new connection and waits for its reply. */
  net::HttpResult Call(const std::string& aAddress,
                       const std::string& aTarget,
                       const nlohmann::json& aBody = nullptr)
  {
    auto replies = std::make_shared<std::vector<net::HttpResult>>();
    Post(NewConnection(), aAddress, aTarget, aBody.is_null() ? "" : aBody.dump(), replies);
    RunUntilReplies(*replies, 1);
    return replies->empty() ? net::HttpResult{ net::HttpClientError::TimedOut, {} }
                            : replies->front();
  }

  /** Runs the loop until that many replies arrived; the client's timeout bounds the wait. */
  void RunUntilReplies(const std::vector<net::HttpResult>& aReplies, std::size_t aCount)
  {
    while (aReplies.size() < aCount && loop.run_one() > 0) {
    }
  }

private:
  core::Task<void> Exchange(std::shared_ptr<net::TcpHttpConnection> aConnection,
                            std::string aAddress,
                            std::string aTarget,
                            std::string aBody,
                            std::shared_ptr<std::vector<net::HttpResult>> aReplies)
  {
    constexpr core::Duration kTimeout = std::chrono::seconds{ 20 };
    net::HttpResult reply;
    if (!aConnection->IsOpen()) {
      const bool isConnected = co_await aConnection->Connect(std::move(aAddress), kTimeout);
      if (!isConnected) {
        reply.error = net::HttpClientError::ConnectFailed;
        aReplies->push_back(reply);
        co_return;
      }
    }
    net::HttpRequest request;
    request.method = aBody.empty() ? "GET" : "POST";
    request.target = std::move(aTarget);
    request.body = std::move(aBody);
    reply = co_await aConnection->Exchange(std::move(request), kTimeout);
    aReplies->push_back(std::move(reply));
  }
};

} // namespace skylarkwing::standin
