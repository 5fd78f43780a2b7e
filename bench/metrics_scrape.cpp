#include "bench/metrics_scrape.h"

#include "bench/loop_thread.h"
#include "core/task.h"
#include "net/http_client.h"

#include <boost/asio/use_future.hpp>

#include <memory>
#include <sstream>
#include <utility>

namespace skylarkwing::bench {

namespace {

constexpr core::Duration kTimeout = std::chrono::seconds{ 2 };

core::Task<std::string>
Fetch(std::shared_ptr<net::TcpHttpConnection> aConnection, std::string aAddress)
{
  const bool isConnected = co_await aConnection->Connect(std::move(aAddress), kTimeout);
  if (!isConnected) {
    co_return std::string();
  }
  net::HttpRequest request;
  request.target = "/metrics";
  request.headers = { { "Authorization", "Bearer " + ClusterFixture::OperatorToken() } };
  const net::HttpResult reply = co_await aConnection->Exchange(std::move(request), kTimeout);
  co_return reply.response.body;
}

/** @return the sum of all series of a metric in a text in the Prometheus format. */
double
SumSeries(const std::string& aText, const std::string& aName)
{
  double sum = 0.0;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    const bool isSeries = line.starts_with(aName + " ") || line.starts_with(aName + "{");
    const std::size_t space = line.rfind(' ');
    if (isSeries && space != std::string::npos) {
      sum += std::stod(line.substr(space + 1));
    }
  }
  return sum;
}

} // namespace

double
SumMetric(const ClusterFixture& aCluster, const std::string& aName)
{
  LoopThread thread;
  double sum = 0.0;
  for (const NodePlace& place : aCluster.Places()) {
    auto connection = std::make_shared<net::TcpHttpConnection>(thread.Loop().get_executor());
    auto text = boost::asio::co_spawn(
      thread.Loop(), Fetch(std::move(connection), place.operatorAddress), boost::asio::use_future);
    sum += SumSeries(text.get(), aName);
  }
  return sum;
}

} // namespace skylarkwing::bench
