#include "daemon/vm_list_fetch.h"

#include "net/http_client.h"

#include <chrono>
#include <utility>

namespace skylarkwing::daemon {

namespace {

constexpr core::Duration kTimeout = std::chrono::seconds{ 2 };
constexpr unsigned kStatusOk = 200;

} // namespace

core::Task<std::optional<std::vector<membership::VmRecord>>>
FetchVmList(boost::asio::any_io_executor aExecutor, std::string aAddress)
{
  net::TcpHttpConnection connection(std::move(aExecutor));
  const bool isConnected = co_await connection.Connect(std::move(aAddress), kTimeout);
  if (!isConnected) {
    co_return std::nullopt;
  }
  net::HttpRequest request;
  request.target = "/vms";
  const net::HttpResult result = co_await connection.Exchange(std::move(request), kTimeout);
  if (result.error != net::HttpClientError::None || result.response.status != kStatusOk) {
    co_return std::nullopt;
  }
  co_return membership::ParseVmList(result.response.body);
}

} // namespace skylarkwing::daemon
