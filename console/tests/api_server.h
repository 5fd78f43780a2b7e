#pragma once

#include "console/operator_api.h"
#include "console/operator_client.h"
#include "console/tests/fake_cluster.h"
#include "core/asio_timer_service.h"
#include "core/metrics.h"
#include "net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace skylarkwing::console {

constexpr auto kReadToken = "read-secret";
constexpr auto kChangeToken = "change-secret";

/** The operators' APIs of two daemons on one fake cluster, served on loopback by a thread. */
class ApiServers
{
public:
  ApiServers()
  {
    for (int n = 0; n < 2; ++n) {
      apis.push_back(std::make_unique<OperatorApi>(
        timers, metrics, OperatorTokens{ kReadToken, kChangeToken }, cluster.Hooks()));
      OperatorApi& api = *apis.back();
      servers.push_back(std::make_unique<net::HttpServer>(
        loop, net::HttpServerLimits{}, [&api](net::HttpRequest aRequest) {
          return api.Handle(std::move(aRequest));
        }));
      BOOST_REQUIRE(servers.back()->Listen("127.0.0.1:0"));
      addresses.push_back(servers.back()->Address());
    }
    mThread = std::thread([this] { loop.run(); });
  }

  ~ApiServers()
  {
    boost::asio::post(loop, [this] {
      for (const auto& api : apis) {
        api->Stop();
      }
      for (const auto& server : servers) {
        server->Close();
      }
      mGuard.reset();
    });
    mThread.join();
  }

  boost::asio::io_context loop;
  core::AsioTimerService timers{ loop };
  core::Metrics metrics;
  FakeCluster cluster;
  std::vector<std::unique_ptr<OperatorApi>> apis;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  std::vector<std::string> addresses;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard{
    loop.get_executor()
  };
  std::thread mThread;
};

} // namespace skylarkwing::console
